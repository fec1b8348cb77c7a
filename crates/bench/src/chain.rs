//! A chain of services, each called through a sidecar: what one call at the top makes of a failing service at the
//! bottom.
//!
//! A chain of depth `n` has `n` sidecars, each a process of the program with an operator's file of its own, and `n`
//! stand-in services. The client calls the first sidecar, which calls the first service, which calls the second sidecar
//! to answer, and so on; the last service fails every request. Every service counts what reaches it.

use crate::plain::{self, Pool};
use crate::process::{Process, TemporaryFile};
use crate::Fault;
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

/// How often requests are looked for after the final answer, and how many looks in a row must find none.
const LOOK: Duration = Duration::from_millis(50);
const QUIET_LOOKS: u32 = 8;
/// The client waits for its answer for so long beyond the deadline.
const BEYOND_DEADLINE: Duration = Duration::from_secs(5);

/// Whether calls of the measured class may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

impl Effect {
    /// The lines of the class in the operator's file.
    fn lines(self, deadline: Duration) -> String {
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

/// What the last service does with each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Failure {
    /// Answers 503 at once; the request may have run.
    Error,
    /// Answers 503 at once with the proof that the request never ran.
    NeverRan,
    /// Never answers.
    Hang,
}

/// What is measured.
#[derive(Args, Clone, Debug)]
pub(crate) struct Plan {
    /// Depths of the chain.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3,4,6,13", value_parser = clap::value_parser!(u32).range(1..=20))]
    depth: Vec<u32>,
    /// Attempts that every sidecar may make for a call; left out: the program's default.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=10))]
    attempts: Option<u32>,
    /// Whether a call may run twice.
    #[arg(long, value_delimiter = ',', default_value = "safe,unsafe")]
    effect: Vec<Effect>,
    /// What the last service does.
    #[arg(long, value_delimiter = ',', default_value = "error,hang")]
    failure: Vec<Failure>,
    /// Calls at the top, one after the other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    calls: u32,
    /// Aim of the class, in milliseconds.
    #[arg(long, default_value_t = 500)]
    aim_ms: u64,
    /// Deadline of the class, in milliseconds.
    #[arg(long, default_value_t = 1_200)]
    deadline_ms: u64,
    /// Lines that are added to the class in every sidecar's file.
    #[arg(long, default_value = "")]
    extra: String,
    /// Services do not pass the remaining time (`X-Timeout`) on.
    #[arg(long)]
    no_deadline: bool,
    /// Services go on with a request whose caller has gone.
    #[arg(long)]
    no_cancel: bool,
    /// A chain stops when so many requests have reached its services.
    #[arg(long, default_value_t = 200_000)]
    most: u64,
}

impl Plan {
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
            effect.lines(self.deadline()),
            self.extra,
        )
    }
}

/// Requests that have reached the services of a chain.
struct Counter {
    by_depth: Vec<Cell<u64>>,
    most: u64,
    full: Notify,
}

impl Counter {
    fn new(depth: usize, most: u64) -> Self {
        Counter {
            by_depth: vec![Cell::new(0); depth],
            most,
            full: Notify::new(),
        }
    }

    fn count(&self, depth: usize) {
        self.by_depth[depth].set(self.by_depth[depth].get() + 1);
        if self.sum() >= self.most {
            self.full.notify_one();
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

/// How a service comes to its answer.
enum Role {
    /// It asks the next service, through that one's sidecar.
    Calls(Rc<Pool>),
    /// It is the last one, and fails.
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
        let passed = tokio::task::spawn_local(async move { plain::pass(&next, request).await });
        // A task goes on when nobody waits for it, unless it is told to end.
        let _ended = (!self.no_cancel).then(|| AbortOnDrop(passed.abort_handle()));
        passed
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

/// The processes of a chain; ended with this.
struct Chain {
    top: Rc<Pool>,
    counter: Rc<Counter>,
    _sidecars: Vec<Process>,
    _files: Vec<TemporaryFile>,
}

impl Chain {
    async fn start(
        plan: &Plan,
        depth: usize,
        effect: Effect,
        failure: Failure,
    ) -> Result<Self, Fault> {
        let counter = Rc::new(Counter::new(depth, plan.most));
        let (mut sidecars, mut files) = (Vec::new(), Vec::new());
        // From the bottom up: each service must know the sidecar below it.
        let mut below: Option<SocketAddr> = None;
        for place in (0..depth).rev() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let role = match below {
                Some(sidecar) => Role::Calls(Rc::new(Pool::new(vec![sidecar]))),
                None => Role::Fails(failure),
            };
            let (no_deadline, no_cancel) = (plan.no_deadline, plan.no_cancel);
            let service = Service {
                depth: place,
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
            let file = TemporaryFile::write(&name, &plan.operators_file(address, effect))?;
            let sidecar = Process::sidecar(&file)?;
            below = Some(sidecar.address);
            sidecars.push(sidecar);
            files.push(file);
        }
        let top = Rc::new(Pool::new(vec![below.ok_or("a chain has a depth")?]));
        Ok(Chain {
            top,
            counter,
            _sidecars: sidecars,
            _files: files,
        })
    }

    /// One call at the top.
    async fn call(&self, plan: &Plan, number: u32) -> Result<Answered, Fault> {
        let request = Request::builder()
            .method(Method::POST)
            .uri("/call")
            .header("host", "service.internal")
            .header("idempotency-key", format!("call-{number}"))
            .body(Full::new(Bytes::from_static(b"body")))?;
        let began = Instant::now();
        let exchange = plain::exchange(&self.top, 0, request);
        let answer = tokio::select! {
            answer = tokio::time::timeout(plan.deadline() + BEYOND_DEADLINE, exchange) => match answer {
                Ok(answer) => Answer::Status(answer?.status()),
                Err(_) => Answer::None,
            },
            () = self.counter.full.notified() => Answer::Stopped,
        };
        Ok(Answered {
            answer,
            after: began.elapsed(),
            requests: self.counter.counts(),
        })
    }

    /// Waits until no further request reaches a service.
    async fn quiet(&self) {
        let (mut seen, mut looks) = (self.counter.sum(), 0);
        while looks < QUIET_LOOKS && seen < self.counter.most {
            tokio::time::sleep(LOOK).await;
            let now = self.counter.sum();
            looks = if now == seen { looks + 1 } else { 0 };
            seen = now;
        }
    }
}

/// How a call at the top ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Status(StatusCode),
    /// There was none in time.
    None,
    /// The chain was stopped, as too many requests had reached its services.
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

/// What a call at the top came to.
struct Answered {
    answer: Answer,
    after: Duration,
    /// Requests that had reached each depth when the answer came, of all calls so far.
    requests: Vec<u64>,
}

fn joined<T: ToString>(all: impl Iterator<Item = T>) -> String {
    all.map(|one| one.to_string()).collect::<Vec<_>>().join(" ")
}

/// Measures one chain and prints its row, and a second one for the calls after the first.
async fn measure(plan: &Plan, depth: u32, effect: Effect, failure: Failure) -> Result<(), Fault> {
    let chain = Chain::start(plan, depth as usize, effect, failure).await?;
    let first = chain.call(plan, 0).await?;
    chain.quiet().await;
    let all = chain.counter.counts();
    let late = all.iter().sum::<u64>() - first.requests.iter().sum::<u64>();
    let what = format!("{depth:>5}  {:<8}{:<10}", name(effect), name(failure));
    println!(
        "{what}{:>7} {:>8.1} {:>8} {late:>6}  {}",
        first.answer.text(),
        first.after.as_secs_f64() * 1e3,
        all.iter().sum::<u64>(),
        joined(all.iter())
    );
    let mut longest = Duration::ZERO;
    let mut last = first.answer;
    for number in 1..plan.calls {
        if last == Answer::Stopped {
            break;
        }
        let answered = chain.call(plan, number).await?;
        longest = longest.max(answered.after);
        last = answered.answer;
    }
    if plan.calls > 1 && last != Answer::Stopped {
        chain.quiet().await;
        let calls = f64::from(plan.calls - 1);
        let each = chain
            .counter
            .counts()
            .into_iter()
            .zip(&all)
            .map(|(now, then)| (now - then) as f64 / calls);
        let each: Vec<f64> = each.collect();
        println!(
            "{:<23}{:>7} {:>8.1} {:>8.2}         {}",
            "  each later call",
            last.text(),
            longest.as_secs_f64() * 1e3,
            each.iter().sum::<f64>(),
            joined(each.iter().map(|n| format!("{n:.2}")))
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
pub(crate) async fn run(plan: &Plan) -> Result<(), Fault> {
    println!("depth  effect  failure    answer       ms requests  later  requests by depth");
    for &failure in &plan.failure {
        for &effect in &plan.effect {
            for &depth in &plan.depth {
                measure(plan, depth, effect, failure).await?;
            }
        }
    }
    Ok(())
}
