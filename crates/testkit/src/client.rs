//! A client that sends the bytes that a test specifies.

use crate::message::{read, read_head, Message};
use socket2::SockRef;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Number of request ids that this process has used.
static IDS: AtomicUsize = AtomicUsize::new(0);

/// A request of a class as clients send it, with this `X-Timeout` and request id.
pub fn request(class: &str, timeout: &str, id: &str) -> String {
    let (method, rest) = match class {
        "safe" => ("GET", "\r\n"),
        "keyed" => (
            "POST",
            "Idempotency-Key: 5c0f\r\nContent-Length: 4\r\n\r\nbody",
        ),
        _ => ("POST", "Content-Length: 4\r\n\r\nbody"),
    };
    format!(
        "{method} /{class}?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout}\r\n{rest}"
    )
}

/// A client connection.
pub struct Client {
    /// The open connection.
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Sends a request of this class with a unique id.
    pub fn send(&mut self, class: &str, timeout: &str) {
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        self.write(&request(class, timeout, &id));
    }

    /// Sends this text as it is.
    pub fn write(&mut self, text: &str) {
        self.stream
            .get_mut()
            .write_all(text.as_bytes())
            .expect("the connection is open");
    }

    /// Writes as much as the system takes without waiting, and returns how many bytes that are.
    ///
    /// # Panics
    /// If the connection has been closed.
    pub fn write_until_full(&mut self) -> usize {
        let stream = self.stream.get_mut();
        stream.set_nonblocking(true).expect("a socket");
        let mut written = 0;
        loop {
            match stream.write(&[b'x'; 64 * 1024]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("the connection is closed: {error}"),
            }
        }
        stream.set_nonblocking(false).expect("a socket");
        written
    }

    /// Reads the next response; None if the connection ends first.
    pub fn answer(&mut self) -> Option<Message> {
        read(&mut self.stream)
    }

    /// Reads a response that has no body, such as the response to HEAD.
    pub fn answer_head(&mut self) -> Option<Message> {
        read_head(&mut self.stream)
    }

    /// Sends this text and reads the response.
    pub fn ask(&mut self, text: &str) -> Message {
        self.write(text);
        self.answer().expect("a final answer")
    }

    /// Sends a request of this class and reads the response.
    pub fn call(&mut self, class: &str, timeout: &str) -> Message {
        self.send(class, timeout);
        self.answer().expect("a final answer")
    }
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
pub enum Departure {
    /// The client closes its connection.
    Close,
    /// The client resets its connection.
    Reset,
    /// The client closes only its sending side.
    HalfClose,
}

impl Departure {
    /// Makes a client leave. Returns the client if it still holds its connection.
    ///
    /// # Panics
    /// If the connection has been closed by the other side.
    pub fn leave(self, client: Client) -> Option<Client> {
        let stream = client.stream.get_ref();
        match self {
            Departure::Close => {}
            Departure::Reset => SockRef::from(stream)
                .set_linger(Some(Duration::ZERO))
                .expect("a socket"),
            Departure::HalfClose => {
                stream.shutdown(Shutdown::Write).expect("a socket");
                return Some(client);
            }
        }
        None
    }
}
