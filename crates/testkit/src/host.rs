//! Stand-in hosts that answer from a script, and addresses at which nothing answers.

use crate::message::{read, Message};
use crate::{EVENT_TIMEOUT, QUIET_PERIOD};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// What a stand-in host does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Sends this text and keeps the connection open.
    Write(String),
    /// Sends this text and closes the connection.
    WriteAndClose(String),
    /// Sends nothing, and reports when the peer closes the connection.
    Silence,
}

/// A response with this status line, these header lines and this body.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An event at a stand-in host. Each variant has the number of its connection, from 0.
#[derive(Debug)]
pub enum HostEvent {
    /// A connection was opened.
    Opened(usize),
    /// A request was received.
    Request(usize, Message),
    /// A connection was closed.
    Closed(usize),
}

/// A stand-in host.
pub struct Host {
    /// Address at which the host listens.
    pub address: SocketAddr,
    /// Events at the host, in order.
    pub events: Receiver<HostEvent>,
}

impl Host {
    /// Starts a host that answers each request as `script` says, given the number of the request from 0.
    pub fn start(script: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (sender, seen) = channel();
        let sender = Arc::new(Mutex::new(sender));
        let (script, count) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (script, count, sender) =
                    (Arc::clone(&script), Arc::clone(&count), Arc::clone(&sender));
                thread::spawn(move || serve(number, stream, &*script, &count, &sender));
            }
        });
        Host {
            address,
            events: seen,
        }
    }

    /// Starts a host that answers each request with status 200 and this body.
    pub fn serving(body: &'static str) -> Host {
        Host::start(move |_| Reply::Write(answer("200 OK", "", body)))
    }

    /// Waits for the next request and returns it with the number of its connection. Skips other events.
    pub fn request(&self) -> (usize, Message) {
        loop {
            if let HostEvent::Request(number, message) =
                self.events.recv_timeout(EVENT_TIMEOUT).expect("a request")
            {
                return (number, message);
            }
        }
    }

    /// Waits until a connection has closed and returns its number. Skips other events.
    pub fn closed(&self) -> usize {
        loop {
            if let HostEvent::Closed(number) = self
                .events
                .recv_timeout(EVENT_TIMEOUT)
                .expect("a closed connection")
            {
                return number;
            }
        }
    }

    /// Number of requests that have not been consumed after waiting for [`QUIET_PERIOD`](crate::QUIET_PERIOD).
    pub fn further_requests(&self) -> usize {
        thread::sleep(QUIET_PERIOD);
        self.events
            .try_iter()
            .filter(|s| matches!(s, HostEvent::Request(..)))
            .count()
    }
}

fn serve(
    number: usize,
    stream: TcpStream,
    script: &dyn Fn(usize) -> Reply,
    count: &AtomicUsize,
    sender: &Mutex<Sender<HostEvent>>,
) {
    let send = |event| {
        let _ = sender.lock().expect("no panic").send(event);
    };
    send(HostEvent::Opened(number));
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let reply = script(count.fetch_add(1, Ordering::SeqCst));
        let last = matches!(reply, Reply::WriteAndClose(_));
        if let (true, Reply::WriteAndClose(text)) = (last, &reply) {
            // Held until the request is reported: what the peer sends once it has the response is reported after it.
            let sender = sender.lock().expect("no panic");
            let _ = stream.get_mut().write_all(text.as_bytes());
            drop(stream);
            let _ = sender.send(HostEvent::Request(number, message));
            let _ = sender.send(HostEvent::Closed(number));
            return;
        }
        send(HostEvent::Request(number, message));
        if let Reply::Write(text) = reply {
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    }
    send(HostEvent::Closed(number));
}

/// A loopback address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port")
}

/// A host at which connection attempts hang, because its accept queue is full and it accepts no connection.
pub struct FullBacklogHost {
    /// Address at which the host listens.
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullBacklogHost {
    /// Starts the host and fills its accept queue.
    ///
    /// # Panics
    /// If the queue does not fill up.
    pub fn start() -> FullBacklogHost {
        // The standard library's listener has a long accept queue. This one has a queue of length 1.
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
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, QUIET_PERIOD) {
            queued.push(stream);
            assert!(queued.len() < 64, "the accept queue does not fill up");
        }
        FullBacklogHost {
            address,
            listener,
            queued,
        }
    }

    /// Accepts the queued connections, and returns whether another one arrives within the time in which a client's
    /// connection attempt is retransmitted.
    pub fn another_connects(self) -> bool {
        self.listener.set_nonblocking(true).expect("a listener");
        let known: Vec<_> = self
            .queued
            .iter()
            .map(|s| s.local_addr().expect("an address"))
            .collect();
        let started = std::time::Instant::now();
        while started.elapsed() < QUIET_PERIOD * 10 {
            match self.listener.accept() {
                Ok((_, from)) if !known.contains(&from) => return true,
                _ => thread::sleep(QUIET_PERIOD / 30),
            }
        }
        false
    }
}
