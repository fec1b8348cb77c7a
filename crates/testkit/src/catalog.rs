//! Discovery as a service: the whole list, and a watch on what changes.

use crate::host::answer;
use crate::message::read;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u32,
    /// `up`, `draining` or `removed`.
    pub status: &'static str,
    /// Unix time in milliseconds at which it started; 0 for long ago.
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
    /// Each entry with the version at which it last changed.
    entries: Vec<(u64, ListEntry)>,
    index: u64,
}

/// The service.
pub struct ListService {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl ListService {
    /// A service that lists these.
    pub fn start(entries: Vec<ListEntry>) -> ListService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let state = State {
            entries: entries.into_iter().map(|e| (1, e)).collect(),
            index: 1,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let of_thread = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&of_thread);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        ListService { address, shared }
    }

    /// Adds an entry or changes the one of its name; watches are told at once.
    pub fn set(&self, entry: ListEntry) {
        let mut state = self.shared.0.lock().expect("no panics here");
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
                let state = shared.0.lock().expect("no panics here");
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

fn changes((state, changed): &(Mutex<State>, Condvar), index: u64, wait: Duration) -> String {
    let end = Instant::now() + wait;
    let mut state = state.lock().expect("no panics here");
    while state.index <= index {
        let Some(left) = end
            .checked_duration_since(Instant::now())
            .filter(|l| !l.is_zero())
        else {
            break;
        };
        state = changed.wait_timeout(state, left).expect("no panics here").0;
    }
    let news: Vec<String> = state
        .entries
        .iter()
        .filter(|(v, _)| *v > index)
        .map(|(_, e)| e.json())
        .collect();
    list(state.index, false, &news)
}

use crate::discovery::list;
