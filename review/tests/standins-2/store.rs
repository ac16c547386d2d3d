//! Provides a stand-in for the platform's store, which can be away and come back from a copy.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, answer, read_head};

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changes: the key, the revision and the item, or `None` if it was removed.
    log: Vec<(String, u64, Option<Item>)>,
}

#[derive(Default)]
struct State {
    content: Content,
    /// The contents after each change, with their times, for copies.
    copies: Vec<(Option<Instant>, Content)>,
    /// The lowest revision from which a watch may go on.
    oldest: u64,
    era: u64,
    is_down: bool,
}

/// A `Store` is a running stand-in.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().era = 1;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// Write an item, also while callers cannot reach the store.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.as_bytes().to_vec()));
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.0.lock().unwrap();
        let content = &mut state.content;
        content.revision += 1;
        let revision = content.revision;
        let created = content.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|value| Item {
            value,
            revision,
            created,
        });
        match &item {
            Some(item) => content.items.insert(key.to_owned(), item.clone()),
            None => content.items.remove(key),
        };
        content.log.push((key.to_owned(), revision, item));
        let copy = content.clone();
        state.copies.push((Some(Instant::now()), copy));
        self.state.1.notify_all();
    }

    /// Answer all calls with 503 from now on, or serve them again.
    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Replace the content by a copy that is this old, in a new era.
    pub fn restore(&self, age: Duration) {
        let mut state = self.state.0.lock().unwrap();
        let at = Instant::now() - age;
        let copies = state.copies.iter().rev();
        let mut copies = copies.filter(|(made, _)| made.is_some_and(|made| made <= at));
        let content = copies.next().map(|(_, content)| content.clone());
        state.content = content.unwrap_or_default();
        state.oldest = state.content.revision;
        state.era += 1;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Some(bytes) = self.answer(&head) else {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Get the answer to a call; `None` if the connection is to be cut.
    fn answer(&self, head: &Head) -> Option<Vec<u8>> {
        let (_, target) = head.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let get = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
        };
        let prefix = get("pathPrefix").unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        if state.is_down {
            return Some(answer("503 Service Unavailable", &[], b""));
        }
        let (status, body) = match path {
            "/kv-range" => {
                let after = get("after").unwrap_or_default();
                let items = state.content.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
                let revision = state.content.revision;
                let items = items.join(",");
                let text = format!(
                    "{{\"items\":[{items}],\"truncated\":false,\"storeRevision\":{revision}}}"
                );
                ("200 OK", text)
            }
            "/kv-watch" => {
                let after: u64 = get("after")?.parse().ok()?;
                let wait: u64 = get("waitMs")?.parse().ok()?;
                let until = Instant::now() + Duration::from_millis(wait);
                let era = state.era;
                if after < state.oldest || after > state.content.revision {
                    let era = era.to_string();
                    return Some(answer("410 Gone", &[("Store-Era", &era)], b"{}"));
                }
                loop {
                    if state.is_down || state.era != era {
                        return None;
                    }
                    let log = state.content.log.iter();
                    let found = log.filter(|(key, at, _)| *at > after && key.starts_with(&prefix));
                    let found: Vec<String> = found.map(change_text).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let events = found.join(",");
                        let revision = state.content.revision;
                        let text =
                            format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}");
                        break ("200 OK", text);
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let era = state.era.to_string();
        let fields = [("Content-Type", "application/json"), ("Store-Era", &era)];
        Some(answer(status, &fields, body.as_bytes()))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let (value, revision, created) = (base64(&item.value), item.revision, item.created);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\
         \"createdRev\":{created},\"lease\":0}}"
    )
}

fn change_text((key, revision, item): &(String, u64, Option<Item>)) -> String {
    match item {
        Some(item) => item_text(key, item),
        None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut number = 0_u32;
        for place in 0..3 {
            number = number << 8 | u32::from(part.get(place).copied().unwrap_or(0));
        }
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
