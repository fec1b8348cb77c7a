//! A scripted list service: the test receives each request and provides each response.

use crate::host::answer;
use crate::message::read;
use crate::EVENT_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// A scripted list service: the test receives each request and provides each response.
pub struct Discovery {
    /// Address at which the service listens.
    pub address: SocketAddr,
    requests: Receiver<String>,
    responses: Sender<String>,
}

impl Discovery {
    /// Starts the service on a loopback port.
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let address = listener.local_addr().expect("local address");
        let ((request_sender, requests), (responses, pending_responses)) =
            (channel(), channel::<String>());
        let pending_responses = Arc::new(Mutex::new(pending_responses));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                while let Some(message) = read(&mut stream) {
                    let line = message.head.lines().next().unwrap_or_default().to_owned();
                    let Ok(()) = request_sender.send(line) else {
                        return;
                    };
                    let Ok(text) = pending_responses
                        .lock()
                        .expect("the mutex is not poisoned")
                        .recv()
                    else {
                        return;
                    };
                    if stream.get_mut().write_all(text.as_bytes()).is_err() || text.is_empty() {
                        break;
                    }
                }
            }
        });
        Discovery {
            address,
            requests,
            responses,
        }
    }

    /// Waits for the next request and returns its request line.
    pub fn next_request(&self) -> String {
        self.requests
            .recv_timeout(EVENT_TIMEOUT)
            .expect("a request to the list service")
    }

    /// Answers the open request with this list.
    pub fn respond(&self, list: &str) {
        self.responses
            .send(answer("200 OK", "", list))
            .expect("the list service is running");
    }

    /// Answers the open request with this text as it is. An empty text closes the connection.
    pub fn respond_raw(&self, text: String) {
        self.responses
            .send(text)
            .expect("the list service is running");
    }
}

/// An entry of the endpoint list as JSON.
pub fn entry(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

/// An endpoint list or a list update as JSON.
pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
