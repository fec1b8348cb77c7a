//! Stand-in hosts that answer by a script, and places where nothing answers.

use crate::message::{read, Message};
use crate::{EVENT_TIMEOUT, QUIET_PERIOD};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;

/// What a stub host does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes this and goes on.
    Write(String),
    /// Writes this and closes the connection.
    WriteAndClose(String),
    /// Says nothing, and reports when the other side closes.
    Silence,
}

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a stub host saw.
#[derive(Debug)]
pub enum Seen {
    Opened(usize),
    /// On which connection, and what.
    Request(usize, Message),
    Closed(usize),
}

pub struct Host {
    pub address: SocketAddr,
    pub events: Receiver<Seen>,
}

impl Host {
    /// A host that answers its requests by `script`, given their number from 0.
    pub fn start(script: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (sender, seen) = channel();
        let (script, count) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (script, count, sender) =
                    (Arc::clone(&script), Arc::clone(&count), sender.clone());
                thread::spawn(move || serve(number, stream, &*script, &count, &sender));
            }
        });
        Host {
            address,
            events: seen,
        }
    }

    pub fn serving(body: &'static str) -> Host {
        Host::start(move |_| Reply::Write(answer("200 OK", "", body)))
    }

    /// The next request and the number of its connection; what else happens is passed over.
    pub fn request(&self) -> (usize, Message) {
        loop {
            if let Seen::Request(number, message) =
                self.events.recv_timeout(EVENT_TIMEOUT).expect("a request")
            {
                return (number, message);
            }
        }
    }

    /// Waits until a connection has closed.
    pub fn closed(&self) -> usize {
        loop {
            if let Seen::Closed(number) = self
                .events
                .recv_timeout(EVENT_TIMEOUT)
                .expect("a connection that closes")
            {
                return number;
            }
        }
    }

    /// How many requests have come and were not looked at, after a while in which more could come.
    pub fn further_requests(&self) -> usize {
        thread::sleep(QUIET_PERIOD);
        self.events
            .try_iter()
            .filter(|s| matches!(s, Seen::Request(..)))
            .count()
    }
}

fn serve(
    number: usize,
    stream: TcpStream,
    script: &dyn Fn(usize) -> Reply,
    count: &AtomicUsize,
    sender: &Sender<Seen>,
) {
    let _ = sender.send(Seen::Opened(number));
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let reply = script(count.fetch_add(1, Ordering::SeqCst));
        let last = matches!(reply, Reply::WriteAndClose(_));
        if let (true, Reply::WriteAndClose(text)) = (last, &reply) {
            let _ = stream.get_mut().write_all(text.as_bytes());
            drop(stream);
            let _ = sender.send(Seen::Request(number, message));
            let _ = sender.send(Seen::Closed(number));
            return;
        }
        let _ = sender.send(Seen::Request(number, message));
        if let Reply::Write(text) = reply {
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    }
    let _ = sender.send(Seen::Closed(number));
}

/// An address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port")
}

/// A host at which connections hang: its queue is full and it takes nobody.
pub struct FullBacklogHost {
    pub address: SocketAddr,
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl FullBacklogHost {
    pub fn start() -> FullBacklogHost {
        // The standard library's listener has a long queue; this one's is one.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()
            .expect("a runtime");
        let _entered = runtime.enter();
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a port");
        let listener = socket
            .listen(1)
            .and_then(tokio::net::TcpListener::into_std)
            .expect("a listener");
        let address = listener.local_addr().expect("its address");
        let mut waiting = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, QUIET_PERIOD) {
            waiting.push(stream);
            assert!(waiting.len() < 64, "the queue never fills");
        }
        FullBacklogHost {
            address,
            listener,
            waiting,
        }
    }

    /// Takes those that wait, and tells whether another comes in the time in which its next try would.
    pub fn another_connects(self) -> bool {
        self.listener.set_nonblocking(true).expect("a listener");
        let known: Vec<_> = self
            .waiting
            .iter()
            .map(|w| w.local_addr().expect("an address"))
            .collect();
        let asked = std::time::Instant::now();
        while asked.elapsed() < QUIET_PERIOD * 10 {
            match self.listener.accept() {
                Ok((_, from)) if !known.contains(&from) => return true,
                _ => thread::sleep(QUIET_PERIOD / 30),
            }
        }
        false
    }
}
