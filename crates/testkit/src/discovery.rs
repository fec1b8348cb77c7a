//! Discovery by hand: the test sees each question and gives each answer.

use crate::host::answer;
use crate::message::read;
use crate::EVENT_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// Discovery: the test sees each question and gives each answer.
pub struct Discovery {
    pub address: SocketAddr,
    next_request: Receiver<String>,
    answers: Sender<String>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let ((question, asked), (answers, given)) = (channel(), channel::<String>());
        let given = Arc::new(Mutex::new(given));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                while let Some(message) = read(&mut stream) {
                    let line = message.head.lines().next().unwrap_or_default().to_owned();
                    let Ok(()) = question.send(line) else { return };
                    let Ok(text) = given.lock().expect("one thread").recv() else {
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
            next_request: asked,
            answers,
        }
    }

    /// The request line of the next question.
    pub fn next_request(&self) -> String {
        self.next_request
            .recv_timeout(EVENT_TIMEOUT)
            .expect("a question to discovery")
    }

    /// Answers the question that is open.
    pub fn respond(&self, list: &str) {
        self.answers
            .send(answer("200 OK", "", list))
            .expect("discovery runs");
    }

    pub fn respond_raw(&self, text: String) {
        self.answers.send(text).expect("discovery runs");
    }
}

/// An entry of the list.
pub fn entry(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
