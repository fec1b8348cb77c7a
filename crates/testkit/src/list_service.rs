//! A list service that serves the full endpoint list and a watch for changes.

use crate::discovery::list;
use crate::host::answer;
use crate::message::read;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Name of the endpoint.
    pub name: String,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Zone of the endpoint.
    pub zone: String,
    /// Dedup group of the endpoint.
    pub group: u32,
    /// Status of the endpoint: `up`, `draining` or `removed`.
    pub status: &'static str,
    /// Unix time in milliseconds at which the endpoint started; 0 for long ago.
    pub since_ms: u64,
}

impl ListEntry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"m","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.group, self.status, self.since_ms
        )
    }
}

#[derive(Default)]
struct State {
    /// Each entry with the index at which it last changed.
    entries: Vec<(u64, ListEntry)>,
    /// Current version of the list.
    index: u64,
}

/// A list service on a loopback port.
pub struct ListService {
    /// Address at which the service listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl ListService {
    /// Starts a service whose list has these entries.
    pub fn start(entries: Vec<ListEntry>) -> ListService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let address = listener.local_addr().expect("local address");
        let state = State {
            entries: entries.into_iter().map(|e| (1, e)).collect(),
            index: 1,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let thread_shared = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&thread_shared);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        ListService { address, shared }
    }

    /// Adds an entry, or replaces the entry with the same name. Open watches are answered at once.
    pub fn set(&self, entry: ListEntry) {
        let mut state = self.shared.0.lock().expect("the mutex is not poisoned");
        state.index += 1;
        let index = state.index;
        state.entries.retain(|(_, e)| e.name != entry.name);
        state.entries.push((index, entry));
        self.shared.1.notify_all();
    }
}

fn serve(stream: TcpStream, shared: &(Mutex<State>, Condvar)) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let target = message
            .head
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        let query = target.split_once('?').map_or("", |q| q.1);
        let number = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let text = match number("index") {
            Some(index) => changes(
                shared,
                index,
                Duration::from_millis(number("wait").unwrap_or(0).min(60_000)),
            ),
            None => {
                let state = shared.0.lock().expect("the mutex is not poisoned");
                let all: Vec<String> = state
                    .entries
                    .iter()
                    .filter(|(_, e)| e.status != "removed")
                    .map(|(_, e)| e.json())
                    .collect();
                list(state.index, true, &all)
            }
        };
        if stream
            .get_mut()
            .write_all(answer("200 OK", "", &text).as_bytes())
            .is_err()
        {
            return;
        }
    }
}

/// Waits up to `wait` for changes after `index` and returns them as JSON.
fn changes((state, changed): &(Mutex<State>, Condvar), index: u64, wait: Duration) -> String {
    let deadline = Instant::now() + wait;
    let mut state = state.lock().expect("the mutex is not poisoned");
    while state.index <= index {
        let Some(remaining) = deadline
            .checked_duration_since(Instant::now())
            .filter(|r| !r.is_zero())
        else {
            break;
        };
        state = changed
            .wait_timeout(state, remaining)
            .expect("the mutex is not poisoned")
            .0;
    }
    let changed_entries: Vec<String> = state
        .entries
        .iter()
        .filter(|(v, _)| *v > index)
        .map(|(_, e)| e.json())
        .collect();
    list(state.index, false, &changed_entries)
}
