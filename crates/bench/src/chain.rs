//! A chain of services, each called through a sidecar: the number of requests that one call at the top causes while the
//! last service fails.
//!
//! A chain of depth `n` has `n` sidecars, each a process of the program with its own operator's file, and `n` stand-in
//! services. The client calls the first sidecar, which calls the first service. To answer, that service calls the second
//! sidecar, and so on; the last service fails every request. Every service counts the requests that reach it.

use crate::plain::{self, Pool};
use crate::process::{Process, TemporaryFile};
use crate::BenchError;
use bytes::Bytes;
use clap::{Args, ValueEnum};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Interval at which the request count is checked after the final answer.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of successive checks without a new request after which a chain is stable.
const STABLE_POLLS: u32 = 8;
/// Time beyond the deadline for which the client waits for its answer.
const DEADLINE_MARGIN: Duration = Duration::from_secs(5);

/// Whether calls of the measured class may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

impl Effect {
    /// The lines for the class in the operator's file.
    fn class_lines(self, deadline: Duration) -> String {
        match self {
            Effect::Safe => "effect = \"safe\"\n".to_owned(),
            Effect::Keyed => {
                format!(
                    "effect = \"keyed\"\ngroup = \"all\"\nwindow = \"{}ms\"\n",
                    deadline.as_millis()
                )
            }
            Effect::Unsafe => "effect = \"unsafe\"\n".to_owned(),
        }
    }
}

/// How the last service fails each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Failure {
    /// Answer 503 at once; the request may have been executed.
    Error,
    /// Answer 503 at once, with the header that proves that the request was not executed.
    NeverRan,
    /// Never answer.
    Hang,
}

/// Options of the benchmark.
#[derive(Args, Clone, Debug)]
pub(crate) struct Options {
    /// Depths of the chain.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3,4,6,13", value_parser = clap::value_parser!(u32).range(1..=20))]
    depth: Vec<u32>,
    /// Maximum number of attempts of each sidecar for a call [default: the program's default].
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=10))]
    attempts: Option<u32>,
    /// Whether a call may be executed twice.
    #[arg(long, value_delimiter = ',', default_value = "safe,unsafe")]
    effect: Vec<Effect>,
    /// How the last service fails.
    #[arg(long, value_delimiter = ',', default_value = "error,hang")]
    failure: Vec<Failure>,
    /// Number of calls at the top, one after the other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    calls: u32,
    /// Latency objective of the class, in milliseconds.
    #[arg(long, default_value_t = 500)]
    aim_ms: u64,
    /// Deadline of the class, in milliseconds.
    #[arg(long, default_value_t = 1_200)]
    deadline_ms: u64,
    /// Lines to add to the class in the operator's file of every sidecar.
    #[arg(long, default_value = "")]
    extra: String,
    /// Services do not propagate the remaining time (`X-Timeout`).
    #[arg(long)]
    no_deadline: bool,
    /// Services continue with a request whose caller has disconnected.
    #[arg(long)]
    no_cancel: bool,
    /// Stop a chain when this many requests have reached its services.
    #[arg(long = "most", value_name = "MOST", default_value_t = 200_000)]
    max_requests: u64,
}

impl Options {
    fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// The operator's file of a sidecar.
    fn operators_file(&self, service: SocketAddr, effect: Effect) -> String {
        let attempts = self
            .attempts
            .map(|n| format!("attempts = {n}\n"))
            .unwrap_or_default();
        format!(
            "listen = \"127.0.0.1:0\"\n[upstream]\nendpoints = [{{ name = \"service\", address = \"{service}\" }}]\n\
             [class.call]\naim = \"{}ms\"\ndeadline = \"{}ms\"\n{}{attempts}{}\n\
             [[route]]\nname = \"call\"\nprefix = \"/call\"\nclass = \"call\"\n",
            self.aim_ms,
            self.deadline_ms,
            effect.class_lines(self.deadline()),
            self.extra,
        )
    }
}

/// Requests that have reached the services of a chain.
struct Counter {
    by_depth: Vec<Cell<u64>>,
    max_requests: u64,
    limit_reached: Notify,
}

impl Counter {
    fn new(depth: usize, max_requests: u64) -> Self {
        Counter {
            by_depth: vec![Cell::new(0); depth],
            max_requests,
            limit_reached: Notify::new(),
        }
    }

    fn count(&self, depth: usize) {
        self.by_depth[depth].set(self.by_depth[depth].get() + 1);
        if self.sum() >= self.max_requests {
            self.limit_reached.notify_one();
        }
    }

    fn counts(&self) -> Vec<u64> {
        self.by_depth.iter().map(Cell::get).collect()
    }

    fn sum(&self) -> u64 {
        self.by_depth.iter().map(Cell::get).sum()
    }
}

/// A stand-in service.
struct Service {
    depth: usize,
    counter: Rc<Counter>,
    role: Role,
    no_deadline: bool,
    no_cancel: bool,
}

/// How a service answers.
enum Role {
    /// The service calls the next one through its sidecar.
    Calls(Rc<Pool>),
    /// The service is the last one, and fails.
    Fails(Failure),
}

impl Service {
    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let service = Rc::clone(&self);
            let answer = service_fn(move |request| {
                let service = Rc::clone(&service);
                async move { Ok::<_, Infallible>(service.answer(request).await) }
            });
            tokio::task::spawn_local(
                http1::Builder::new().serve_connection(TokioIo::new(stream), answer),
            );
        }
    }

    async fn answer(&self, mut request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.counter.count(self.depth);
        let next = match &self.role {
            Role::Fails(failure) => return fail(*failure).await,
            Role::Calls(next) => Rc::clone(next),
        };
        if self.no_deadline {
            request.headers_mut().remove("x-timeout");
        }
        let forwarded =
            tokio::task::spawn_local(async move { plain::forward(&next, request).await });
        // A task continues when its handle is dropped, so it is aborted explicitly.
        let _ended = (!self.no_cancel).then(|| AbortOnDrop(forwarded.abort_handle()));
        forwarded
            .await
            .unwrap_or_else(|_| status(StatusCode::INTERNAL_SERVER_ERROR))
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = plain::answer(Bytes::new());
    *response.status_mut() = status;
    response
}

async fn fail(failure: Failure) -> Response<Full<Bytes>> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    match failure {
        Failure::Error => {}
        Failure::NeverRan => {
            response.headers_mut().insert(
                "x-not-processed",
                hyper::header::HeaderValue::from_static("1"),
            );
        }
        Failure::Hang => std::future::pending().await,
    }
    response
}

/// The processes of a chain, which are killed on drop.
struct Chain {
    top: Rc<Pool>,
    counter: Rc<Counter>,
    _sidecars: Vec<Process>,
    _files: Vec<TemporaryFile>,
}

impl Chain {
    async fn start(
        options: &Options,
        depth: usize,
        effect: Effect,
        failure: Failure,
    ) -> Result<Self, BenchError> {
        let counter = Rc::new(Counter::new(depth, options.max_requests));
        let (mut sidecars, mut files) = (Vec::new(), Vec::new());
        // Started from the bottom up, because each service needs the address of the sidecar below it.
        let mut below: Option<SocketAddr> = None;
        for level in (0..depth).rev() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let role = match below {
                Some(sidecar) => Role::Calls(Rc::new(Pool::new(vec![sidecar]))),
                None => Role::Fails(failure),
            };
            let (no_deadline, no_cancel) = (options.no_deadline, options.no_cancel);
            let service = Service {
                depth: level,
                counter: Rc::clone(&counter),
                role,
                no_deadline,
                no_cancel,
            };
            tokio::task::spawn_local(Rc::new(service).serve(listener));
            let name = format!(
                "badgerramp-chain-{}-{}.toml",
                std::process::id(),
                address.port()
            );
            let file = TemporaryFile::write(&name, &options.operators_file(address, effect))?;
            let sidecar = Process::sidecar(&file)?;
            below = Some(sidecar.address);
            sidecars.push(sidecar);
            files.push(file);
        }
        let top = Rc::new(Pool::new(vec![
            below.ok_or("the depth of a chain must be at least 1")?
        ]));
        Ok(Chain {
            top,
            counter,
            _sidecars: sidecars,
            _files: files,
        })
    }

    /// Makes one call at the top.
    async fn call(&self, options: &Options, number: u32) -> Result<CallResult, BenchError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri("/call")
            .header("host", "service.internal")
            .header("idempotency-key", format!("call-{number}"))
            .body(Full::new(Bytes::from_static(b"body")))?;
        let started_at = Instant::now();
        let exchange = plain::exchange(&self.top, 0, request);
        let answer = tokio::select! {
            answer = tokio::time::timeout(options.deadline() + DEADLINE_MARGIN, exchange) => match answer {
                Ok(answer) => Answer::Status(answer?.status()),
                Err(_) => Answer::None,
            },
            () = self.counter.limit_reached.notified() => Answer::Stopped,
        };
        Ok(CallResult {
            answer,
            elapsed: started_at.elapsed(),
            requests: self.counter.counts(),
        })
    }

    /// Waits until no more requests reach the services.
    async fn wait_until_stable(&self) {
        let (mut last_sum, mut unchanged_polls) = (self.counter.sum(), 0);
        while unchanged_polls < STABLE_POLLS && last_sum < self.counter.max_requests {
            tokio::time::sleep(POLL_INTERVAL).await;
            let now = self.counter.sum();
            unchanged_polls = if now == last_sum {
                unchanged_polls + 1
            } else {
                0
            };
            last_sum = now;
        }
    }
}

/// The result of a call at the top.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Status(StatusCode),
    /// No answer arrived in time.
    None,
    /// The chain was stopped, because too many requests had reached its services.
    Stopped,
}

impl Answer {
    fn text(self) -> String {
        match self {
            Answer::Status(status) => status.as_u16().to_string(),
            Answer::None => "none".to_owned(),
            Answer::Stopped => "stopped".to_owned(),
        }
    }
}

/// The result of a call at the top, with its time and the requests counted until then.
struct CallResult {
    answer: Answer,
    elapsed: Duration,
    /// Requests of all calls so far that had reached each depth when the answer arrived.
    requests: Vec<u64>,
}

fn join<T: ToString>(counts: impl Iterator<Item = T>) -> String {
    counts
        .map(|item| item.to_string())
        .collect::<Vec<_>>()
        .join(" ")
}

/// Measures one chain. Prints a row for the first call, and another one for the later calls.
async fn measure(
    options: &Options,
    depth: u32,
    effect: Effect,
    failure: Failure,
) -> Result<(), BenchError> {
    let chain = Chain::start(options, depth as usize, effect, failure).await?;
    let first = chain.call(options, 0).await?;
    chain.wait_until_stable().await;
    let counts = chain.counter.counts();
    let later_requests = counts.iter().sum::<u64>() - first.requests.iter().sum::<u64>();
    let row_head = format!("{depth:>5}  {:<8}{:<10}", name(effect), name(failure));
    println!(
        "{row_head}{:>7} {:>8.1} {:>8} {later_requests:>6}  {}",
        first.answer.text(),
        first.elapsed.as_secs_f64() * 1e3,
        counts.iter().sum::<u64>(),
        join(counts.iter())
    );
    let mut max_elapsed = Duration::ZERO;
    let mut last = first.answer;
    for number in 1..options.calls {
        if last == Answer::Stopped {
            break;
        }
        let result = chain.call(options, number).await?;
        max_elapsed = max_elapsed.max(result.elapsed);
        last = result.answer;
    }
    if options.calls > 1 && last != Answer::Stopped {
        chain.wait_until_stable().await;
        let calls = f64::from(options.calls - 1);
        let per_call = chain
            .counter
            .counts()
            .into_iter()
            .zip(&counts)
            .map(|(now, then)| (now - then) as f64 / calls);
        let per_call: Vec<f64> = per_call.collect();
        println!(
            "{:<23}{:>7} {:>8.1} {:>8.2}         {}",
            "  each later call",
            last.text(),
            max_elapsed.as_secs_f64() * 1e3,
            per_call.iter().sum::<f64>(),
            join(per_call.iter().map(|n| format!("{n:.2}")))
        );
    }
    Ok(())
}

fn name(value: impl ValueEnum) -> String {
    value
        .to_possible_value()
        .map(|v| v.get_name().to_owned())
        .unwrap_or_default()
}

/// Measures every depth with every effect and failure, and prints the table.
pub(crate) async fn run(options: &Options) -> Result<(), BenchError> {
    println!("depth  effect  failure    answer       ms requests  later  requests by depth");
    for &failure in &options.failure {
        for &effect in &options.effect {
            for &depth in &options.depth {
                measure(options, depth, effect, failure).await?;
            }
        }
    }
    Ok(())
}
