//! Provides the stand-in for the platform's store: range reads, single reads and watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_request};

struct Change {
    key: String,
    revision: u64,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, (u64, String)>,
    history: Vec<Change>,
    revision: u64,
}

/// A `Store` is the stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Start to serve on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Write an item.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (revision, value.to_owned()));
        state.history.push(Change {
            key: key.to_owned(),
            revision,
            value: Some(value.to_owned()),
        });
        changed.notify_all();
    }

    /// Remove an item.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.history.push(Change {
            key: key.to_owned(),
            revision,
            value: None,
        });
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| decode(value))
        };
        match path {
            "/kv-range" => self.range(&parameter("pathPrefix"), &parameter("after")),
            "/kv-watch" => {
                let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                let after = parameter("after").parse().unwrap_or(0);
                self.watch(&parameter("pathPrefix"), after, wait)
            }
            "/kv-key" => self.single(&parameter("key")),
            _ => (404, "{}".to_owned()),
        }
    }

    fn single(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some((revision, value)) => {
                let item = item_json(key, *revision, Some(value));
                let end = format!(",\"storeRevision\":{}}}", state.revision);
                (200, item.trim_end_matches('}').to_owned() + &end)
            }
            None => (404, format!("{{\"storeRevision\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut found: Vec<_> = found.take(501).collect();
        let truncated = found.len() > 500;
        found.truncate(500);
        let items: Vec<String> = found
            .iter()
            .map(|(key, (revision, value))| item_json(key, *revision, Some(value)))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let (state, changed) = &*self.state;
        let deadline = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let later = state.history.iter();
            let later =
                later.filter(|change| change.revision > after && change.key.starts_with(prefix));
            let events: Vec<String> = later
                .map(|change| item_json(&change.key, change.revision, change.value.as_deref()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{revision},\"createdRev\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"tombstone\":true}}"),
    }
}

/// Encode bytes in standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for chunk in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Decode the percent encoding of a query value.
fn decode(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
