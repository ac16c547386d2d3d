//! Provides a stand-in for a worker, which can crash, start again under its id and be cold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, answer, read_body, read_head};
use crate::record::Record;
use crate::store::Store;

/// A `WorkerKind` is what a worker does with a request.
#[derive(Clone, Copy, Debug)]
pub enum WorkerKind {
    /// It answers after this time.
    Plain(Duration),
    /// It answers with a stream, with this pause before each event. The request names the
    /// number of events in its path.
    Stream(Duration),
}

/// A `WorkerOptions` is the configuration of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub version: &'static str,
    pub slots: usize,
    /// The number of requests that may wait for a slot.
    pub queue: usize,
    pub kind: WorkerKind,
    /// The number of requests in any second above which a cold worker crashes.
    pub cold_crash: usize,
}

/// An `Arrival` is a request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub request: String,
    /// Whether it counts as run.
    pub has_run: bool,
    /// Whether the worker was cold.
    pub is_cold: bool,
    /// Whether the worker has answered it.
    pub is_answered: bool,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// The parts of prompts that the worker holds, with their tokens.
    held: BTreeMap<String, u64>,
    known: BTreeSet<String>,
    arrivals: Vec<Arrival>,
    cold_until: Option<Instant>,
    recent: VecDeque<Instant>,
    connections: Vec<TcpStream>,
    born: u64,
    sequence: u64,
    crashes: usize,
}

/// A `Worker` is a running stand-in.
#[derive(Clone)]
pub struct Worker {
    pub options: WorkerOptions,
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Whether the present process has ended; each start has a flag of its own.
    ended: Arc<Mutex<Arc<AtomicBool>>>,
    record: Record,
}

impl Worker {
    /// Start a worker at a free address.
    pub fn start(options: WorkerOptions, record: &Record) -> Self {
        let worker = Worker {
            address: crate::hosts::free_address(),
            options,
            state: Arc::default(),
            ended: Arc::default(),
            record: record.clone(),
        };
        worker.restart();
        worker
    }

    /// Start the worker again under its id; it holds and knows nothing of before.
    pub fn restart(&self) {
        let ended = Arc::new(AtomicBool::new(false));
        *self.ended.lock().unwrap() = Arc::clone(&ended);
        {
            let mut state = self.state.0.lock().unwrap();
            state.running = 0;
            state.waiting = 0;
            state.sequence = 0;
            state.held.clear();
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            state.born = now.expect("a time after 1970").as_millis() as u64;
        }
        let listener = TcpListener::bind(self.address).expect("the worker's address");
        listener.set_nonblocking(true).expect("a listener");
        let worker = self.clone();
        std::thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => worker.accept(stream, &ended),
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn accept(&self, stream: TcpStream, ended: &Arc<AtomicBool>) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            let mut state = self.state.0.lock().unwrap();
            state.connections.push(copy);
        }
        let (worker, ended) = (self.clone(), Arc::clone(ended));
        std::thread::spawn(move || worker.serve(stream, &ended));
    }

    /// End the process: all connections close, and new ones are refused.
    pub fn crash(&self) {
        self.ended.lock().unwrap().store(true, Ordering::SeqCst);
        let mut state = self.state.0.lock().unwrap();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        state.crashes += 1;
        drop(state);
        self.state.1.notify_all();
        self.record
            .note(&format!("worker {} ends", self.options.id));
        // The listener closes with its thread.
        std::thread::sleep(Duration::from_millis(5));
    }

    /// Be cold for this long from now on.
    pub fn turn_cold(&self, span: Duration) {
        let mut state = self.state.0.lock().unwrap();
        state.cold_until = Some(Instant::now() + span);
        state.recent.clear();
    }

    /// Write the worker's entry to the store.
    pub fn register(&self, store: &Store) {
        let mut state = self.state.0.lock().unwrap();
        state.sequence += 1;
        let cold = state.cold_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        let WorkerOptions {
            id,
            service,
            zone,
            version,
            slots,
            ..
        } = &self.options;
        let (address, cold, sequence, born) =
            (self.address, cold.as_millis(), state.sequence, state.born);
        drop(state);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\
             \"coldRemainingMs\":{cold},\"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.0.lock().unwrap().arrivals.clone()
    }

    pub fn crashes(&self) -> usize {
        self.state.0.lock().unwrap().crashes
    }

    pub fn running(&self) -> usize {
        self.state.0.lock().unwrap().running
    }

    fn serve(&self, stream: TcpStream, ended: &AtomicBool) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head, false, |_| {}).is_err() {
                return;
            }
            if ended.load(Ordering::SeqCst) || self.answer(&head, &mut writer, ended).is_err() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(
        &self,
        head: &Head,
        writer: &mut TcpStream,
        ended: &AtomicBool,
    ) -> std::io::Result<()> {
        let (method, path) = head.request();
        match (method, path) {
            ("GET", "/healthz") => return writer.write_all(&self.health()),
            ("GET", "/kv-list") => return writer.write_all(&self.kv_list()),
            _ => {}
        }
        let id = head.field("request-id").unwrap_or("").to_owned();
        let instance = ("Instance-Id", self.options.id.as_str());
        if head
            .field("target-instance")
            .is_some_and(|named| named != self.options.id)
        {
            let fields = [("Request-Id", id.as_str()), instance];
            return writer.write_all(&answer("421 Misdirected Request", &fields, b""));
        }
        if id.is_empty() {
            let bytes = answer("400 Bad Request", &[("Not-Executed", "1")], b"");
            return writer.write_all(&bytes);
        }
        let Some(index) = self.admit(head, &id, ended) else {
            if ended.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let fields = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return writer.write_all(&answer("503 Service Unavailable", &fields, b""));
        };
        let ran = self.run(head, &id, writer, ended);
        let mut state = self.state.0.lock().unwrap();
        if !ended.load(Ordering::SeqCst) {
            state.running = state.running.saturating_sub(1);
            state.arrivals[index].is_answered = ran.is_ok();
        }
        drop(state);
        self.state.1.notify_all();
        ran
    }

    /// Wait for a slot; `None` if the request is turned away or the process has ended.
    fn admit(&self, head: &Head, id: &str, ended: &AtomicBool) -> Option<usize> {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let is_cold = state.cold_until.is_some_and(|until| now < until);
        if is_cold && self.is_flooded(&mut state, now) {
            drop(state);
            self.record.note(&format!(
                "worker {} is cold and gets too much",
                self.options.id
            ));
            self.crash();
            return None;
        }
        let index = state.arrivals.len();
        state.arrivals.push(Arrival {
            at: now,
            request: id.to_owned(),
            has_run: false,
            is_cold,
            is_answered: false,
        });
        if state.running >= self.options.slots && state.waiting >= self.options.queue {
            return None;
        }
        state.waiting += 1;
        while state.running >= self.options.slots && !ended.load(Ordering::SeqCst) {
            let wait = Duration::from_millis(20);
            state = self.state.1.wait_timeout(state, wait).unwrap().0;
        }
        if ended.load(Ordering::SeqCst) {
            return None;
        }
        state.waiting = state.waiting.saturating_sub(1);
        state.running += 1;
        state.arrivals[index].has_run = true;
        let parts = head.field("prompt-prefix").unwrap_or("").split(',');
        for (part, tokens) in parts.filter_map(|part| part.trim().split_once(':')) {
            let tokens = tokens.parse().unwrap_or(0);
            state.held.insert(part.to_owned(), tokens);
        }
        state.known.insert(id.to_owned());
        Some(index)
    }

    fn is_flooded(&self, state: &mut State, now: Instant) -> bool {
        state.recent.push_back(now);
        while state
            .recent
            .front()
            .is_some_and(|at| now - *at > Duration::from_secs(1))
        {
            state.recent.pop_front();
        }
        state.recent.len() > self.options.cold_crash
    }

    fn run(
        &self,
        head: &Head,
        id: &str,
        writer: &mut TcpStream,
        ended: &AtomicBool,
    ) -> std::io::Result<()> {
        let seal = format!("{}.{}", self.options.id, id);
        let gone = || std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let gap = match self.options.kind {
            WorkerKind::Plain(work) => {
                std::thread::sleep(work);
                if ended.load(Ordering::SeqCst) {
                    return Err(gone());
                }
                let fields = [("Request-Id", id), ("Response-Seal", &seal)];
                return writer.write_all(&answer("200 OK", &fields, seal.as_bytes()));
            }
            WorkerKind::Stream(gap) => gap,
        };
        let (_, path) = head.request();
        let count = path.rsplit('/').next().and_then(|count| count.parse().ok());
        let first = head.field("last-event-id").and_then(|id| id.parse().ok());
        let (count, first): (u64, u64) = (count.unwrap_or(1), first.unwrap_or(0));
        writer.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
                 Response-Seal: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        for number in first + 1..=count {
            std::thread::sleep(gap);
            if ended.load(Ordering::SeqCst) {
                return Err(gone());
            }
            let (worker, version) = (&self.options.id, self.options.version);
            let event = format!("id: {number}\ndata: {worker} {version} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    fn health(&self) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let cold = state.cold_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        let cold = cold.as_millis().to_string();
        let fields = [
            ("Instance-Id", self.options.id.as_str()),
            ("Cold-Ms", cold.as_str()),
        ];
        answer("200 OK", &fields, b"")
    }

    fn kv_list(&self) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let held = state.held.iter();
        let held = held.map(|(part, tokens)| format!("[\"\",\"{part}\",{tokens},\"m\"]"));
        let held: Vec<String> = held.collect();
        let (born, held) = (state.born, held.join(","));
        let body = format!("{{\"epoch\":\"{born}\",\"nextToken\":1,\"held\":[{held}]}}");
        answer(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }
}
