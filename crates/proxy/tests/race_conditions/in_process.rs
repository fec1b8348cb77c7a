//! The program as tasks of the test's own runtime, with hooks on its sockets that force races.

use badgerramp::net::clock::Clock;
use badgerramp::net::driver::List;
use badgerramp::net::rules::{Platform, Rules};
use badgerramp::net::socket::{Connecting, Listener, Network, Stream};
use badgerramp::program::{serve_in, EndpointSource, Environment, Setup};
use badgerramp_testkit::*;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::sync::mpsc;
use std::task::{ready, Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Notify};

/// A step of the program on a connection, before or after which a hook runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HookPoint {
    /// A read has returned `Pending`.
    ReadPending,
    /// A read has returned data.
    DataRead,
    /// The check for unread bytes has found none.
    NothingUnread,
    /// The program is about to shut down its sending side.
    Shutdown,
}

/// Connections to the host are numbered from here on; connections of clients are numbered from 0.
pub(crate) const FIRST_UPSTREAM_CONNECTION: usize = 1_000;

/// A hook that has not run yet: its step, the number of its connection, and its action.
pub(crate) type PendingHook = (HookPoint, usize, Box<dyn FnOnce(&TcpStream)>);

/// A hook that runs when the listener's queue is empty: the time from which on it may run, and its action.
pub(crate) type EmptyQueueHook = (Instant, Box<dyn FnOnce()>);

/// The hooks of all connections.
#[derive(Default)]
pub(crate) struct Hooks {
    pub(crate) pending: RefCell<Option<PendingHook>>,
    /// Bytes that may still be written to connections of clients, where that is limited.
    pub(crate) write_budget: Cell<Option<usize>>,
    /// Tasks that wait until they may write more, by the numbers of their connections.
    pub(crate) blocked_writers: RefCell<BTreeMap<usize, Waker>>,
    /// The accepted connections of clients.
    pub(crate) accepted: RefCell<Vec<Weak<tokio::net::TcpStream>>>,
    /// Number of connections that were closed while they had unread bytes.
    pub(crate) closed_unread: Cell<usize>,
    /// The host.
    pub(crate) host: Cell<Option<SocketAddr>>,
    /// Number of connections to the host that were opened.
    pub(crate) opened: Cell<usize>,
    /// The hook that runs when the listener's queue is empty.
    pub(crate) empty_queue_hook: RefCell<Option<EmptyQueueHook>>,
    /// Connects to this host wait until `released` is notified; `connecting` is notified when one begins.
    pub(crate) held_host: Cell<Option<SocketAddr>>,
    pub(crate) connecting: Notify,
    pub(crate) released: Notify,
}

impl Hooks {
    pub(crate) fn set_hook(
        &self,
        point: HookPoint,
        connection: usize,
        action: impl FnOnce(&TcpStream) + 'static,
    ) {
        *self.pending.borrow_mut() = Some((point, connection, Box::new(action)));
    }

    /// Returns whether the hook has run.
    pub(crate) fn hook_ran(&self) -> bool {
        self.pending.borrow().is_none()
    }

    pub(crate) fn run_hook(&self, point: HookPoint, stream: &HookedStream) {
        let matches = |c: &mut PendingHook| (c.0, c.1) == (point, stream.number);
        let pending = self.pending.borrow_mut().take_if(matches);
        if let Some((.., action)) = pending {
            let std = SockRef::from(&*stream.stream)
                .try_clone()
                .expect("a descriptor");
            action(&std.into());
        }
    }

    pub(crate) fn run_empty_queue_hook(&self) {
        let hook = self
            .empty_queue_hook
            .borrow_mut()
            .take_if(|(from, _)| *from <= Instant::now());
        if let Some((_, action)) = hook {
            action();
        }
    }

    /// Waits until the program has accepted the connection of a client.
    pub(crate) async fn wait_until_accepted(&self, connection: usize) {
        while self.accepted.borrow().len() <= connection {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the program has read all bytes that were received on a connection.
    pub(crate) async fn wait_until_read(&self, connection: usize) {
        let unread = || match self
            .accepted
            .borrow()
            .get(connection)
            .and_then(Weak::upgrade)
        {
            Some(stream) => !Stream::nothing_to_read(&*stream),
            None => true,
        };
        while unread() {
            tokio::task::yield_now().await;
        }
    }

    pub(crate) fn unblock_writes(&self) {
        self.write_budget.set(None);
        let blocked_writers = std::mem::take(&mut *self.blocked_writers.borrow_mut());
        blocked_writers.into_values().for_each(Waker::wake);
    }
}

/// A connection of the program whose steps run the hooks.
pub(crate) struct HookedStream {
    pub(crate) stream: Rc<tokio::net::TcpStream>,
    pub(crate) number: usize,
    pub(crate) hooks: Rc<Hooks>,
}

impl Stream for HookedStream {
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let read = Stream::poll_read(&*self.stream, cx, buf);
        let point = match read {
            Poll::Pending => HookPoint::ReadPending,
            Poll::Ready(_) => HookPoint::DataRead,
        };
        self.hooks.run_hook(point, self);
        read
    }

    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let is_client = self.number < FIRST_UPSTREAM_CONNECTION;
        let Some(left) = self.hooks.write_budget.get().filter(|_| is_client) else {
            return Stream::poll_write(&*self.stream, cx, buf);
        };
        if left == 0 {
            self.hooks
                .blocked_writers
                .borrow_mut()
                .insert(self.number, cx.waker().clone());
            return Poll::Pending;
        }
        let written = ready!(Stream::poll_write(
            &*self.stream,
            cx,
            &buf[..left.min(buf.len())]
        ))?;
        self.hooks.write_budget.set(Some(left - written));
        Poll::Ready(Ok(written))
    }

    fn shutdown(&self) {
        self.hooks.run_hook(HookPoint::Shutdown, self);
        Stream::shutdown(&*self.stream);
    }

    fn nothing_to_read(&self) -> bool {
        let quiet = Stream::nothing_to_read(&*self.stream);
        if quiet {
            self.hooks.run_hook(HookPoint::NothingUnread, self);
        }
        quiet
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        Stream::try_read(&*self.stream, buf)
    }

    fn read_closed(&self) -> bool {
        Stream::read_closed(&*self.stream)
    }

    fn peer(&self) -> Option<IpAddr> {
        Stream::peer(&*self.stream)
    }
}

impl Drop for HookedStream {
    fn drop(&mut self) {
        if SockRef::from(&*self.stream)
            .peek(&mut [std::mem::MaybeUninit::uninit()])
            .is_ok_and(|count| count > 0)
        {
            self.hooks
                .closed_unread
                .set(self.hooks.closed_unread.get() + 1);
        }
    }
}

/// A listener whose connections run the hooks.
pub(crate) struct HookedListener(TcpListener, Rc<Hooks>);

impl Listener for HookedListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>> {
        let accept = self.0.poll_accept(cx);
        if accept.is_pending() {
            self.1.run_empty_queue_hook();
        }
        let (stream, _) = ready!(accept)?;
        let mut accepted = self.1.accepted.borrow_mut();
        let number = accepted.len();
        let stream = Rc::new(stream);
        accepted.push(Rc::downgrade(&stream));
        Poll::Ready(Ok(Rc::new(HookedStream {
            stream,
            number,
            hooks: Rc::clone(&self.1),
        })))
    }
}

/// A network whose connections run the hooks.
pub(crate) struct HookedNetwork(Rc<Hooks>);

impl Network for HookedNetwork {
    fn connect(&self, address: SocketAddr) -> Connecting {
        let hooks = Rc::clone(&self.0);
        Box::pin(async move {
            if hooks.held_host.get() == Some(address) {
                hooks.connecting.notify_one();
                hooks.released.notified().await;
            }
            let stream = tokio::net::TcpStream::connect(address).await?;
            let number = FIRST_UPSTREAM_CONNECTION
                + hooks
                    .opened
                    .replace(hooks.opened.get() + usize::from(hooks.host.get() == Some(address)));
            Ok(Rc::new(HookedStream {
                stream: Rc::new(stream),
                number,
                hooks,
            }) as Rc<dyn Stream>)
        })
    }
}

/// The program as tasks of this process.
pub(crate) struct InProcessProxy {
    pub(crate) hooks: Rc<Hooks>,
    pub(crate) address: SocketAddr,
    pub(crate) stop: Option<oneshot::Sender<()>>,
    pub(crate) ended: oneshot::Receiver<Result<(), String>>,
    _discovery: Discovery,
}

impl InProcessProxy {
    /// Starts the program with a limit on descriptors and one endpoint.
    pub(crate) async fn start(descriptors: usize, host: &Host) -> InProcessProxy {
        InProcessProxy::start_at(descriptors, host.address).await
    }

    pub(crate) async fn start_at(descriptors: usize, host: SocketAddr) -> InProcessProxy {
        InProcessProxy::start_with(descriptors, host, SETTINGS).await
    }

    /// Starts the program with these settings of the platform.
    pub(crate) async fn start_with(
        descriptors: usize,
        host: SocketAddr,
        settings: &str,
    ) -> InProcessProxy {
        let platform_settings = serde_json::from_str(settings).expect("JSON");
        let platform_settings =
            badgerramp_decisions::settings::read(&platform_settings).expect("settings");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let discovery = Discovery::start();
        let known: List =
            serde_json::from_str(&list(41, true, &[entry("s-1", host, "up", 0)])).expect("a list");
        let setup = Setup {
            listen: address,
            seed: 7,
            rules: Rules::Platform(Platform::new(&platform_settings, None)),
            platform_settings,
            descriptors,
            memory_bytes: 64 << 20,
            endpoint_source: EndpointSource::Discovery {
                address: discovery.address,
                cached: known.endpoints,
                index: Some(known.index),
            },
            subset: None,
            watch_wait: None,
            list_polling: None,
            gossip: None,
            gate: None,
            default_retry_after: 0,
            plain_http: false,
        };
        let hooks = Rc::new(Hooks::default());
        hooks.host.set(Some(host));
        let environment = Environment {
            network: Rc::new(HookedNetwork(Rc::clone(&hooks))),
            listener: Rc::new(HookedListener(listener, Rc::clone(&hooks))),
            clock: Clock::start(),
        };
        let ((stop, stopped), (end, ended)) = (oneshot::channel(), oneshot::channel());
        tokio::task::spawn_local(async move {
            let hangup = async || std::future::pending().await;
            let stop = async move { stopped.await.unwrap_or_default() };
            let _ = end.send(serve_in(setup, environment, hangup, stop, |_| Ok(()), |_| {}).await);
        });
        InProcessProxy {
            hooks,
            address,
            stop: Some(stop),
            ended,
            _discovery: discovery,
        }
    }

    pub(crate) fn stop(&mut self) {
        let _ = self.stop.take().expect("one stop").send(());
    }

    /// Connects a client. Its connection has the next number.
    pub(crate) fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time-out");
        Client {
            stream: BufReader::new(stream),
        }
    }
}

/// The runtime's time while only the test advances it.
pub(crate) struct FrozenTime {
    /// Ends the blocking task, beside which the runtime does not advance its time by itself.
    _end: mpsc::Sender<()>,
}

impl FrozenTime {
    pub(crate) fn start() -> FrozenTime {
        tokio::time::pause();
        let (end, ended) = mpsc::channel::<()>();
        tokio::task::spawn_blocking(move || ended.recv());
        FrozenTime { _end: end }
    }

    /// Advances the time in small steps: the program takes a large one for a stall of its process.
    pub(crate) async fn advance(&self, time: Duration) {
        const STEP: Duration = Duration::from_millis(50);
        let mut left = time;
        while !left.is_zero() {
            let step = left.min(STEP);
            tokio::time::advance(step).await;
            left -= step;
        }
    }
}

/// Whether the program has neither written to this client nor closed its connection.
pub(crate) fn is_open(client: &Client) -> bool {
    let stream = client.stream.get_ref();
    stream.set_nonblocking(true).expect("a socket");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a socket");
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Runs a test on the runtime on which the program runs as well.
pub(crate) fn run_local(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test());
}

/// Runs the blocking action of a client on a thread of its own. Returns the client and the action's result.
pub(crate) async fn on_client_thread<T: Send + 'static>(
    mut client: Client,
    action: impl FnOnce(&mut Client) -> T + Send + 'static,
) -> (Client, T) {
    let done = tokio::task::spawn_blocking(move || {
        let response = action(&mut client);
        (client, response)
    });
    done.await.expect("a client")
}

/// Returns an action that writes `text` as the client and waits until the other side of the connection has received bytes.
pub(crate) fn write_until_received(
    client: &Client,
    text: String,
) -> impl FnOnce(&TcpStream) + 'static {
    let client = client.stream.get_ref().try_clone().expect("a descriptor");
    move |other| {
        io::Write::write_all(&mut &client, text.as_bytes()).expect("an open connection");
        while other.peek(&mut [0]).is_err() {
            thread::yield_now();
        }
    }
}

pub(crate) fn read_answer(client: &mut Client) -> Option<Message> {
    client.answer()
}
