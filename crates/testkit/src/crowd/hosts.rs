//! Hosts whose responses are as long as the request asks, with a record of all executions.

use super::http::{field, read_head};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Name of the query parameter with the length of the response.
const ANSWER_PARAMETER: &str = "answer=";
/// Name of the query parameter with the number of fields in the response's head.
const FIELDS_PARAMETER: &str = "fields=";
/// Name of the query parameter with the length of each of these fields.
const LENGTH_PARAMETER: &str = "length=";
/// Name of the query parameter with the work of the request, in milliseconds.
const WORK_PARAMETER: &str = "work=";

/// Start of requests that must not be repeated.
const UNSAFE_START: &str = "POST /unsafe";

/// How often each request of the class `unsafe` was executed, by its id.
#[derive(Clone, Debug, Default)]
pub struct ExecutionRecord(Arc<Mutex<HashMap<String, u32>>>);

impl ExecutionRecord {
    /// The ids that were executed more than once.
    pub fn repeated(&self) -> Vec<String> {
        let executions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let repeated = executions.iter().filter(|(_, &count)| count > 1);
        repeated.map(|(id, _)| id.clone()).collect()
    }

    /// How often this request was executed.
    pub fn count(&self, id: &str) -> u32 {
        let executions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        executions.get(id).copied().unwrap_or(0)
    }

    fn add(&self, id: &str) {
        let mut executions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *executions.entry(id.to_owned()).or_default() += 1;
    }
}

/// Hosts that answer each request after its work. They run until the process ends.
#[derive(Clone, Debug)]
pub struct SizedHosts {
    /// The addresses of the hosts.
    pub addresses: Vec<SocketAddr>,
    /// All executions.
    pub executions: ExecutionRecord,
}

impl SizedHosts {
    /// Starts this number of hosts.
    ///
    /// # Panics
    /// If there is no port.
    pub fn start(count: usize) -> SizedHosts {
        let listeners: Vec<_> = (0..count)
            .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"))
            .collect();
        let addresses = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("its address"))
            .collect();
        let executions = ExecutionRecord::default();
        let record = executions.clone();
        thread::spawn(move || serve_all(listeners, &record));
        SizedHosts {
            addresses,
            executions,
        }
    }
}

fn serve_all(listeners: Vec<std::net::TcpListener>, record: &ExecutionRecord) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        for listener in listeners {
            listener.set_nonblocking(true).expect("a socket");
            let listener = TcpListener::from_std(listener).expect("a listener");
            tokio::spawn(accept_all(listener, record.clone()));
        }
        std::future::pending::<()>().await;
    });
}

async fn accept_all(listener: TcpListener, record: ExecutionRecord) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, record.clone()));
    }
}

async fn serve(stream: TcpStream, record: ExecutionRecord) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    loop {
        let head = read_head(&mut stream).await.ok()?;
        let length = field(&head, "content-length").map_or(0, |length| length.parse().unwrap_or(0));
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.ok()?;
        if head.starts_with(UNSAFE_START) {
            record.add(field(&head, "x-request-id").unwrap_or_default());
        }
        let work = parameter(&head, WORK_PARAMETER).unwrap_or(2);
        tokio::time::sleep(Duration::from_millis(work as u64)).await;
        let answer = vec![b'a'; parameter(&head, ANSWER_PARAMETER).unwrap_or(2)];
        let fields = response_fields(&head);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{fields}\r\n",
            answer.len()
        );
        stream.get_mut().write_all(head.as_bytes()).await.ok()?;
        stream.get_mut().write_all(&answer).await.ok()?;
    }
}

/// The fields of the response that a request asks for.
fn response_fields(head: &str) -> String {
    let count = parameter(head, FIELDS_PARAMETER).unwrap_or(0);
    let length = parameter(head, LENGTH_PARAMETER).unwrap_or(0);
    (0..count)
        .map(|field| format!("y{field:x}: {:1>length$}\r\n", ""))
        .collect()
}

/// The value of a query parameter in the start line of a request.
fn parameter(head: &str, name: &str) -> Option<usize> {
    let start_line = head.lines().next()?;
    let value = start_line.split_once(name)?.1;
    let end = value.find(|c: char| !c.is_ascii_digit())?;
    value[..end].parse().ok()
}
