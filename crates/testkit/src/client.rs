//! A client that says what a test wants said.

use crate::message::{read, read_head, Message};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

static IDS: AtomicUsize = AtomicUsize::new(0);

/// A request in the form that clients give it.
pub fn request(class: &str, time: &str, id: &str) -> String {
    let (method, rest) = match class {
        "safe" => ("GET", "\r\n"),
        "keyed" => (
            "POST",
            "Idempotency-Key: 5c0f\r\nContent-Length: 4\r\n\r\nbody",
        ),
        _ => ("POST", "Content-Length: 4\r\n\r\nbody"),
    };
    format!(
        "{method} /{class}?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {time}\r\n{rest}"
    )
}

pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Sends a request of this class, under an id of its own.
    pub fn send(&mut self, class: &str, time: &str) {
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        self.write(&request(class, time, &id));
    }

    pub fn write(&mut self, text: &str) {
        self.stream
            .get_mut()
            .write_all(text.as_bytes())
            .expect("an open connection");
    }

    pub fn answer(&mut self) -> Option<Message> {
        read(&mut self.stream)
    }

    /// The answer to HEAD, or one whose status leaves no body.
    pub fn answer_head(&mut self) -> Option<Message> {
        read_head(&mut self.stream)
    }

    /// Sends this and tells the answer.
    pub fn ask(&mut self, text: &str) -> Message {
        self.write(text);
        self.answer().expect("a final answer")
    }

    pub fn call(&mut self, class: &str, time: &str) -> Message {
        self.send(class, time);
        self.answer().expect("a final answer")
    }
}
