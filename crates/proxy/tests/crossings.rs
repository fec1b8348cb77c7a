//! What comes between two lines: a request, an answer, a close or a signal that crosses the program's own next step. Each
//! crossing is forced. Where the point lies inside the program, its real sockets are held there by a hook; where the
//! system can hold it, the program runs as a process and is stopped (SIGSTOP).

use badgerramp::net::clock::Clock;
use badgerramp::net::driver::List;
use badgerramp::net::rules::{Platform, Rules};
use badgerramp::net::socket::{Connecting, Listener, Network, Stream};
use badgerramp::program::{serve_in, Members, Setup, Surroundings};
use badgerramp_decisions::settings;
use badgerramp_testkit::*;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::io::{self, BufReader, Read};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::task::{ready, Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Notify};

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

/// At which of the program's steps on a client's connection something else comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// A read has found nothing.
    ReadNothing,
    /// The system was asked and has nothing.
    Quiet,
    /// Its sending side is about to be closed.
    Shutdown,
}

/// From here on connections to the host are counted.
const TO_HOSTS: usize = 1_000;

/// What is to come at which step of which connection, counted from 0.
type Crossing = (Step, usize, Box<dyn FnOnce(&TcpStream)>);

/// What is to come, and from when on, as nothing is in the listener's queue.
type NoneQueued = (Instant, Box<dyn FnOnce()>);

/// The hooks of all connections.
#[derive(Default)]
struct Hooks {
    crossing: RefCell<Option<Crossing>>,
    /// Bytes that connections still take, where that is bounded, and who waits for more.
    takes: Cell<Option<usize>>,
    wakers: RefCell<Vec<Waker>>,
    /// The connections of clients that were accepted.
    accepted: RefCell<Vec<Weak<tokio::net::TcpStream>>>,
    /// Connections that were closed with bytes unread.
    unread: Cell<usize>,
    /// The host, and how many connections to it were opened.
    host: Cell<Option<SocketAddr>>,
    opened: Cell<usize>,
    /// What comes right after the listener, asked from this time on, had nothing.
    none_queued: RefCell<Option<NoneQueued>>,
    /// Connections to this host are held until that is told.
    held: Cell<Option<SocketAddr>>,
    connecting: Notify,
    released: Notify,
}

impl Hooks {
    fn at(&self, step: Step, connection: usize, what: impl FnOnce(&TcpStream) + 'static) {
        *self.crossing.borrow_mut() = Some((step, connection, Box::new(what)));
    }

    /// Has what was to come at a step come?
    fn crossed(&self) -> bool {
        self.crossing.borrow().is_none()
    }

    fn reached(&self, step: Step, stream: &Hooked) {
        let here = |c: &mut Crossing| (c.0, c.1) == (step, stream.number);
        let crossing = self.crossing.borrow_mut().take_if(here);
        if let Some((.., what)) = crossing {
            let std = SockRef::from(&*stream.stream)
                .try_clone()
                .expect("a descriptor");
            what(&std.into());
        }
    }

    fn found_no_connection(&self) {
        let due = self
            .none_queued
            .borrow_mut()
            .take_if(|(from, _)| *from <= Instant::now());
        if let Some((_, what)) = due {
            what();
        }
    }

    /// Waits until the program has read all that has come on a connection.
    async fn read(&self, connection: usize) {
        let unread = || match self
            .accepted
            .borrow()
            .get(connection)
            .and_then(Weak::upgrade)
        {
            Some(stream) => !Stream::quiet(&*stream),
            None => true,
        };
        while unread() {
            tokio::time::sleep(QUIET_PERIOD / 300).await;
        }
    }

    fn take_all(&self) {
        self.takes.set(None);
        self.wakers.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

/// A client's connection at the program's side.
struct Hooked {
    stream: Rc<tokio::net::TcpStream>,
    number: usize,
    hooks: Rc<Hooks>,
}

impl Stream for Hooked {
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let read = Stream::poll_read(&*self.stream, cx, buf);
        if read.is_pending() {
            self.hooks.reached(Step::ReadNothing, self);
        }
        read
    }

    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Some(left) = self.hooks.takes.get() else {
            return Stream::poll_write(&*self.stream, cx, buf);
        };
        if left == 0 {
            self.hooks.wakers.borrow_mut().push(cx.waker().clone());
            return Poll::Pending;
        }
        let written = ready!(Stream::poll_write(
            &*self.stream,
            cx,
            &buf[..left.min(buf.len())]
        ))?;
        self.hooks.takes.set(Some(left - written));
        Poll::Ready(Ok(written))
    }

    fn shutdown(&self) {
        self.hooks.reached(Step::Shutdown, self);
        Stream::shutdown(&*self.stream);
    }

    fn quiet(&self) -> bool {
        let quiet = Stream::quiet(&*self.stream);
        if quiet {
            self.hooks.reached(Step::Quiet, self);
        }
        quiet
    }

    fn take(&self, buf: &mut [u8]) -> io::Result<usize> {
        Stream::take(&*self.stream, buf)
    }

    fn peer(&self) -> Option<IpAddr> {
        Stream::peer(&*self.stream)
    }
}

impl Drop for Hooked {
    fn drop(&mut self) {
        if SockRef::from(&*self.stream)
            .peek(&mut [std::mem::MaybeUninit::uninit()])
            .is_ok_and(|count| count > 0)
        {
            self.hooks.unread.set(self.hooks.unread.get() + 1);
        }
    }
}

struct Door(TcpListener, Rc<Hooks>);

impl Listener for Door {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>> {
        let accept = self.0.poll_accept(cx);
        if accept.is_pending() {
            self.1.found_no_connection();
        }
        let (stream, _) = ready!(accept)?;
        let mut accepted = self.1.accepted.borrow_mut();
        let number = accepted.len();
        let stream = Rc::new(stream);
        accepted.push(Rc::downgrade(&stream));
        Poll::Ready(Ok(Rc::new(Hooked {
            stream,
            number,
            hooks: Rc::clone(&self.1),
        })))
    }
}

struct Ways(Rc<Hooks>);

impl Network for Ways {
    fn connect(&self, address: SocketAddr) -> Connecting {
        let hooks = Rc::clone(&self.0);
        Box::pin(async move {
            if hooks.held.get() == Some(address) {
                hooks.connecting.notify_one();
                hooks.released.notified().await;
            }
            let stream = tokio::net::TcpStream::connect(address).await?;
            let number = TO_HOSTS
                + hooks
                    .opened
                    .replace(hooks.opened.get() + usize::from(hooks.host.get() == Some(address)));
            Ok(Rc::new(Hooked {
                stream: Rc::new(stream),
                number,
                hooks,
            }) as Rc<dyn Stream>)
        })
    }
}

/// The program within this process.
struct Inside {
    hooks: Rc<Hooks>,
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<Result<(), String>>,
    _discovery: Discovery,
}

impl Inside {
    /// One with so many descriptors, at this host.
    async fn start(descriptors: usize, host: &Host) -> Inside {
        Inside::start_at(descriptors, host.address).await
    }

    async fn start_at(descriptors: usize, host: SocketAddr) -> Inside {
        let facts = serde_json::from_str(SETTINGS).expect("JSON");
        let facts = settings::read(&facts).expect("settings");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let discovery = Discovery::start();
        let known: List =
            serde_json::from_str(&list(41, true, &[entry("s-1", host, "up", 0)])).expect("a list");
        let setup = Setup {
            listen: address,
            seed: 7,
            rules: Rules::Platform(Platform::new(&facts, None)),
            facts,
            descriptors,
            memory: 64 << 20,
            members: Members::Discovery {
                address: discovery.address,
                known: known.endpoints,
                index: Some(known.index),
            },
            subset: None,
            watch_wait: None,
            list: None,
            peers: None,
            gate: None,
            advice: 0,
            plain_http: false,
        };
        let hooks = Rc::new(Hooks::default());
        hooks.host.set(Some(host));
        let around = Surroundings {
            network: Rc::new(Ways(Rc::clone(&hooks))),
            listener: Rc::new(Door(listener, Rc::clone(&hooks))),
            clock: Clock::start(),
        };
        let ((stop, stopped), (end, ended)) = (oneshot::channel(), oneshot::channel());
        tokio::task::spawn_local(async move {
            let hangup = async || std::future::pending().await;
            let stop = async move { stopped.await.unwrap_or_default() };
            let _ = end.send(serve_in(setup, around, hangup, stop, |_| Ok(()), |_| {}).await);
        });
        Inside {
            hooks,
            address,
            stop: Some(stop),
            ended,
            _discovery: discovery,
        }
    }

    fn stop(&mut self) {
        let _ = self.stop.take().expect("one stop").send(());
    }

    /// A client, whose connection is the next one.
    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time-out");
        Client {
            stream: BufReader::new(stream),
        }
    }
}

/// Runs this beside the program.
fn beside(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test());
}

/// What a client does that waits, in a thread of its own.
async fn waiting<T: Send + 'static>(
    mut client: Client,
    what: impl FnOnce(&mut Client) -> T + Send + 'static,
) -> (Client, T) {
    let done = tokio::task::spawn_blocking(move || {
        let told = what(&mut client);
        (client, told)
    });
    done.await.expect("a client")
}

/// Has this written by the client, and waits until the other side's system has it.
fn arrives(client: &Client, text: String) -> impl FnOnce(&TcpStream) + 'static {
    let client = client.stream.get_ref().try_clone().expect("a descriptor");
    move |other| {
        io::Write::write_all(&mut &client, text.as_bytes()).expect("an open connection");
        while other.peek(&mut [0]).is_err() {
            thread::yield_now();
        }
    }
}

fn next(client: &mut Client) -> Option<Message> {
    client.answer()
}

/// At a stop idle connections are closed; a request that had reached the system by then, and was not read, went down with
/// its connection.
#[test]
fn a_request_that_comes_as_its_connection_is_closed_at_a_stop_is_answered() {
    beside(async || {
        let host = Host::serving("ok");
        let mut program = Inside::start(1_024, &host).await;
        let (client, first) = waiting(program.client(), |c| c.call("unsafe", "2000m")).await;
        assert_eq!(first.status(), 200);
        program.hooks.at(
            Step::ReadNothing,
            0,
            arrives(&client, request("unsafe", "2000m", "cross")),
        );
        program.stop();
        let (_, answer) = waiting(client, next).await;
        assert!(program.hooks.crossed());
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
    });
}

/// A connection that has never been asked on was closed at a stop like one that had its answer; the client that had just
/// opened it was about to ask, and its request came to a closed connection.
#[test]
fn a_first_request_that_comes_after_a_stop_on_a_connection_taken_before_it_is_answered() {
    beside(async || {
        let host = Host::serving("ok");
        let mut program = Inside::start(1_024, &host).await;
        let (used, first) = waiting(program.client(), |c| c.call("unsafe", "2000m")).await;
        assert_eq!(first.status(), 200);
        let new = program.client();
        while program.hooks.accepted.borrow().len() < 2 {
            tokio::time::sleep(QUIET_PERIOD / 300).await;
        }
        program.stop();
        // That an idle connection ends shows that the stop has been heard.
        let (_, end) = waiting(used, next).await;
        assert!(end.is_none(), "nothing was owed on it");
        let (_, answer) = waiting(new, |c| {
            c.send("unsafe", "2000m");
            c.answer()
        })
        .await;
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
    });
}

/// The listener went with a connection in its queue that had come since the runtime's last look at its sockets; the system
/// reset it.
#[test]
fn a_connection_that_is_queued_as_the_listener_goes_is_answered() {
    /// How long connections are accepted after a stop.
    const ACCEPTED: Duration = Duration::from_millis(450);
    beside(async || {
        let host = Host::serving("ok");
        let mut program = Inside::start(1_024, &host).await;
        let (client, connected) = oneshot::channel();
        let address = program.address;
        let connects = move || {
            let stream = TcpStream::connect(address).expect("it listens");
            stream
                .set_read_timeout(Some(EVENT_TIMEOUT))
                .expect("a time-out");
            let mut queued = Client {
                stream: BufReader::new(stream),
            };
            queued.send("unsafe", "2000m");
            assert!(client.send(queued).is_ok(), "it is waited for");
        };
        *program.hooks.none_queued.borrow_mut() =
            Some((Instant::now() + ACCEPTED, Box::new(connects)));
        program.stop();
        let (_, answer) = waiting(connected.await.expect("a client"), next).await;
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
    });
}

/// Half of a head that had come by the stop was dropped on a connection that had been used before; what came of it then
/// had nobody to read it.
#[test]
fn a_request_that_is_half_in_at_a_stop_is_answered() {
    beside(async || {
        let host = Host::serving("ok");
        let mut program = Inside::start(1_024, &host).await;
        let (client, _) = waiting(program.client(), |c| c.call("unsafe", "2000m")).await;
        let text = request("unsafe", "2000m", "half");
        let (half, rest) = text.split_at(40);
        program
            .hooks
            .at(Step::ReadNothing, 0, arrives(&client, half.to_owned()));
        program.stop();
        while !program.hooks.crossed() {
            tokio::task::yield_now().await;
        }
        let rest = rest.to_owned();
        let (_, answer) = waiting(client, move |c| {
            c.write(&rest);
            c.answer()
        })
        .await;
        assert_eq!(answer.map(|a| a.status()), Some(200));
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
    });
}

/// A connection is chosen to make room as nothing is on it; a request that came right then had a tenth of a second, and
/// was lost after it.
#[test]
fn a_request_that_comes_as_its_connection_is_to_make_room_is_answered() {
    beside(async || {
        let (open, gate) = mpsc::channel::<()>();
        let gate = Mutex::new(gate);
        let host = Host::start(move |n| {
            if n == 8 {
                let _ = gate.lock().expect("one call").recv();
            }
            Reply::Write(answer("200 OK", "", "ok"))
        });
        // Eight clients may stay.
        let program = Inside::start(64, &host).await;
        let mut clients = VecDeque::new();
        for _ in 0..8 {
            let (client, told) = waiting(program.client(), |c| c.call("safe", "2000m")).await;
            assert_eq!(told.status(), 200);
            clients.push_back(client);
        }
        let first = clients.pop_front().expect("eight");
        program.hooks.at(
            Step::Quiet,
            0,
            arrives(&first, request("unsafe", "3000m", "cross")),
        );
        let ninth = waiting(program.client(), |c| c.call("safe", "2000m"));
        let (_, told) = tokio::join!(ninth, async {
            // It reaches its host, and its answer comes long after those who leave are cut off.
            while !program.hooks.crossed() {
                tokio::time::sleep(QUIET_PERIOD / 30).await;
            }
            let waits = waiting(first, next);
            let (answer, ()) = tokio::join!(waits, async {
                tokio::time::sleep(QUIET_PERIOD).await;
                open.send(()).expect("the host waits");
            });
            answer.1
        });
        assert_eq!(told.map(|a| a.status()), Some(200));
    });
}

/// An answer that its client had not read was taken for given: the stop left it half written, and so did the next client
/// that wanted the place.
#[test]
fn an_answer_on_its_way_is_written_whole_whatever_comes() {
    beside(async || {
        let body = "x".repeat(60_000);
        let large = body.clone();
        let host = Host::start(move |_| Reply::Write(answer("200 OK", "", &large)));
        let mut program = Inside::start(64, &host).await;
        program.hooks.takes.set(Some(1_000));
        let mut slow = program.client();
        slow.send("safe", "3000m");
        while program.hooks.wakers.borrow().is_empty() {
            tokio::time::sleep(QUIET_PERIOD / 30).await;
        }
        // Ten more come, and have nothing to say: the place of the slow one must not be theirs.
        let crowd: Vec<Client> = (0..10).map(|_| program.client()).collect();
        tokio::time::sleep(QUIET_PERIOD).await;
        program.stop();
        // The listener goes, and nothing is left but this one.
        while TcpStream::connect(program.address).is_ok() {
            tokio::time::sleep(QUIET_PERIOD / 30).await;
        }
        tokio::time::sleep(QUIET_PERIOD).await;
        program.hooks.take_all();
        let (_, told) = waiting(slow, next).await;
        assert_eq!(told.map(|a| a.body), Some(body.into_bytes()));
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
        drop(crowd);
    });
}

/// One that never takes its answer holds a stop up for a minute, not for ever.
#[test]
fn an_answer_that_nobody_takes_does_not_hold_a_stop_up_for_ever() {
    beside(async || {
        let host = Host::serving("ok");
        let mut program = Inside::start(64, &host).await;
        program.hooks.takes.set(Some(10));
        let mut slow = program.client();
        slow.send("safe", "3000m");
        while program.hooks.wakers.borrow().is_empty() {
            tokio::time::sleep(QUIET_PERIOD / 30).await;
        }
        // From here on time runs as fast as nothing is to be done.
        tokio::time::pause();
        let asked = tokio::time::Instant::now();
        program.stop();
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
        assert!(
            (50..70).contains(&asked.elapsed().as_secs()),
            "{:?}",
            asked.elapsed()
        );
    });
}

/// A close over unread bytes is a reset, which may take the answer before it with it: also where the client, and not the
/// request, had more to say.
#[test]
fn what_comes_as_a_connection_is_closed_breaks_no_answer() {
    for at_stop in [true, false] {
        beside(async || {
            let host = Host::serving("ok");
            let mut program = Inside::start(1_024, &host).await;
            let mut client = program.client();
            program
                .hooks
                .at(Step::Shutdown, 0, arrives(&client, "GET /sa".to_owned()));
            if at_stop {
                let (used, answer) = waiting(client, |c| c.call("safe", "2000m")).await;
                assert_eq!(answer.status(), 200);
                client = used;
                program.stop();
            } else {
                // More than belongs to the request: its answer closes.
                client.write(&(request("unsafe", "2000m", "1") + "GET /"));
            }
            let (mut client, answer) =
                waiting(client, move |c| if at_stop { None } else { c.answer() }).await;
            assert_eq!(
                answer.map(|a| a.status()),
                if at_stop { None } else { Some(400) }
            );
            let end = waiting(
                Client {
                    stream: BufReader::new(
                        client.stream.get_ref().try_clone().expect("a descriptor"),
                    ),
                },
                |c| c.stream.read(&mut [0; 16]).map_err(|e| e.kind()),
            );
            assert_eq!(end.await.1, Ok(0), "an end, no reset");
            assert!(program.hooks.crossed());
            while program.hooks.accepted.borrow()[0].strong_count() > 0 {
                tokio::time::sleep(QUIET_PERIOD / 30).await;
            }
            assert_eq!(program.hooks.unread.get(), 0, "closed with bytes unread");
            client
                .stream
                .get_mut()
                .shutdown(Shutdown::Both)
                .unwrap_or_default();
        });
    }
}

/// Between the look at an idle connection and the request's first byte the host says something, or closes. The request is
/// written behind that, so that it may have run: a safe one goes again, an unsafe one has failed.
#[test]
fn what_a_host_does_right_before_the_first_byte_is_no_answer_and_proves_nothing() {
    // Half a line may be the beginning of an answer: it is waited for.
    for (says, safe) in [("HTTP/1.1 40", 503), ("noise\r\n\r\n", 200), ("", 200)] {
        for class in ["safe", "unsafe"] {
            beside(async || {
                let host = Interrupts::start(says);
                let program = Inside::start_at(1_024, host.address).await;
                let (client, first) =
                    waiting(program.client(), |c| c.call("unsafe", "3000m")).await;
                assert_eq!(first.status(), 200);
                let now = host.now;
                program.hooks.at(Step::Quiet, TO_HOSTS, move |stream| {
                    now.send(()).expect("the host waits");
                    while stream.peek(&mut [0]).is_err() {
                        thread::yield_now();
                    }
                });
                let (_, second) = waiting(client, move |c| c.call(class, "3000m")).await;
                assert!(program.hooks.crossed());
                assert_eq!(
                    second.status(),
                    if class == "safe" { safe } else { 502 },
                    "{class} after {says:?}"
                );
                // It is on its way to nobody, or ran at most once more.
                let most = if class == "safe" { 3 } else { 2 };
                assert!(
                    host.asked.load(Ordering::SeqCst) <= most,
                    "{class} after {says:?}"
                );
            });
        }
    }
}

/// A host whose first connection, once it has answered a request, says something or closes when it is told.
struct Interrupts {
    address: SocketAddr,
    now: mpsc::Sender<()>,
    asked: Arc<AtomicUsize>,
}

impl Interrupts {
    fn start(says: &'static str) -> Interrupts {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (now, told) = mpsc::channel::<()>();
        let asked = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&asked);
        thread::spawn(move || {
            let mut told = Some(told);
            for stream in listener.incoming().flatten() {
                let (told, count) = (told.take(), Arc::clone(&count));
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while read(&mut stream).is_some() {
                        count.fetch_add(1, Ordering::SeqCst);
                        let _ = io::Write::write_all(
                            stream.get_mut(),
                            answer("200 OK", "", "ok").as_bytes(),
                        );
                        if told.as_ref().is_some_and(|told| told.recv().is_ok()) {
                            if says.is_empty() {
                                return;
                            }
                            let _ = io::Write::write_all(stream.get_mut(), says.as_bytes());
                            // Whatever comes on it now is counted, not answered.
                            while read(&mut stream).is_some() {
                                count.fetch_add(1, Ordering::SeqCst);
                            }
                        }
                    }
                });
            }
        });
        Interrupts {
            address,
            now,
            asked,
        }
    }
}

/// A second copy of an answer comes some milliseconds late, right behind the next request on its connection, and was read
/// as the answer to that. Once a host has been seen to send what belongs to no request, its connections rest in between.
#[test]
fn a_second_answer_that_comes_behind_the_next_request_is_not_read_as_its_answer() {
    beside(async || {
        // Time stands still but where the test moves it on.
        tokio::time::pause();
        let host = Copies::start();
        let program = Inside::start_at(1_024, host.address).await;
        let mut client = program.client();
        for n in 0..6 {
            // The first copy comes at once, and shows what hosts do here.
            let (used, told) = waiting(client, |c| c.call("unsafe", "3000m")).await;
            client = used;
            let body = format!("answer {n}");
            assert_eq!(
                (told.status(), String::from_utf8_lossy(&told.body).as_ref()),
                (200, body.as_str())
            );
        }
        // Rested connections are used again.
        assert_eq!(host.connections(), 6, "one for each, as none has rested");
        tokio::time::advance(Duration::from_millis(20)).await;
        let (_, told) = waiting(client, |c| c.call("unsafe", "3000m")).await;
        assert_eq!((told.status(), host.connections()), (200, 6));
    });
}

/// A host that answers its first request twice at once, and later ones a second time when the next request comes on the
/// same connection soon after.
struct Copies {
    address: SocketAddr,
    opened: Arc<AtomicUsize>,
}

impl Copies {
    fn start() -> Copies {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (opened, asked) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let count = Arc::clone(&opened);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let asked = Arc::clone(&asked);
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    let mut before = String::new();
                    while read(&mut stream).is_some() {
                        let n = asked.fetch_add(1, Ordering::SeqCst);
                        let own = answer("200 OK", "", &format!("answer {n}"));
                        // By the seventh the time in which copies come is over.
                        let copies = if n < 6 { before.clone() } else { String::new() };
                        let text = copies + &own + if n == 0 { &own } else { "" };
                        let _ = io::Write::write_all(stream.get_mut(), text.as_bytes());
                        before = own;
                    }
                });
            }
        });
        Copies { address, opened }
    }

    fn connections(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    Resets,
    /// Closes its sending side alone.
    Half,
}

impl Leaves {
    fn go(self, client: Client) -> Option<Client> {
        let stream = client.stream.get_ref();
        match self {
            Leaves::Closes => {}
            Leaves::Resets => SockRef::from(stream)
                .set_linger(Some(Duration::ZERO))
                .expect("a socket"),
            Leaves::Half => {
                stream.shutdown(Shutdown::Write).expect("a socket");
                return Some(client);
            }
        }
        None
    }
}

/// While its connection to a host comes up, a client leaves: with bytes behind its request in the library's buffer, the
/// end was not seen, and the request was sent all the same.
#[test]
fn nothing_is_sent_for_a_client_that_left_while_its_connection_came_up() {
    for leaves in [Leaves::Closes, Leaves::Resets, Leaves::Half] {
        for behind in ["", "GET /safe HTTP/1.1\r\n"] {
            beside(async || {
                let host = Host::serving("ok");
                let program = Inside::start(1_024, &host).await;
                program.hooks.held.set(Some(host.address));
                let mut client = program.client();
                client.send("unsafe", "3000m");
                program.hooks.connecting.notified().await;
                if !behind.is_empty() {
                    client.write(behind);
                    // Read first: then the library has it in its buffer, and looks no further.
                    program.hooks.read(0).await;
                }
                let left = leaves.go(client);
                program.hooks.released.notify_one();
                // One that waits is served: by then the other would have been sent.
                let (_, answer) = waiting(program.client(), {
                    program.hooks.held.set(None);
                    |c| c.call("safe", "3000m")
                })
                .await;
                assert_eq!(answer.status(), 200, "{leaves:?}");
                let sent = host.events.try_iter().filter(
                    |s| matches!(s, HostEvent::Request(_, m) if m.head.starts_with("POST")),
                );
                assert_eq!(
                    sent.count(),
                    0,
                    "{leaves:?} with {} bytes behind",
                    behind.len()
                );
                drop(left);
            });
        }
    }
}

/// A host that tells of each request as it comes, and answers none before it is let.
struct Gated {
    address: SocketAddr,
    came: mpsc::Receiver<String>,
    open: Arc<(Mutex<bool>, Condvar)>,
}

impl Gated {
    fn start() -> Gated {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (tell, came) = mpsc::channel();
        let open = Arc::new((Mutex::new(false), Condvar::new()));
        let gate = Arc::clone(&open);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (tell, gate) = (tell.clone(), Arc::clone(&gate));
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(message) = read(&mut stream) {
                        let _ = tell.send(
                            message
                                .header("x-request-id")
                                .unwrap_or_default()
                                .to_owned(),
                        );
                        let open = gate.0.lock().expect("no panic");
                        drop(gate.1.wait_while(open, |open| !*open).expect("no panic"));
                        let _ = io::Write::write_all(
                            stream.get_mut(),
                            answer("200 OK", "", "ok").as_bytes(),
                        );
                    }
                });
            }
        });
        Gated {
            address,
            came,
            open,
        }
    }

    fn open(&self) {
        *self.open.0.lock().expect("no panic") = true;
        self.open.1.notify_all();
    }

    /// All that come until none does for a while.
    fn all(&self) -> HashSet<String> {
        let mut all = HashSet::new();
        while let Ok(id) = self.came.recv_timeout(QUIET_PERIOD) {
            all.insert(id);
        }
        all
    }
}

/// The same while it waits in order, also where the process stands still meanwhile, and finds what releases the call
/// beside its client's end.
#[test]
fn nothing_is_sent_for_a_client_that_left_while_it_waited_in_order() {
    for (stopped, leaves) in [
        (false, Leaves::Closes),
        (true, Leaves::Closes),
        (true, Leaves::Resets),
    ] {
        let (discovery, host) = (Discovery::start(), Gated::start());
        let proxy = Proxy::start(PROGRAM, &discovery, &[entry("s-1", host.address, "up", 0)]);
        let mut clients: Vec<(String, Client)> = Vec::new();
        for n in 0..14 {
            let (id, mut client) = (format!("call-{n}"), proxy.client());
            client.write(&request("unsafe", "3000m", &id));
            clients.push((id, client));
        }
        let sent = host.all();
        let (served, held): (Vec<_>, Vec<_>) =
            clients.into_iter().partition(|(id, _)| sent.contains(id));
        assert!(
            served.len() > 3 && held.len() > 3,
            "{} of 14 are held",
            held.len()
        );
        if stopped {
            proxy.signal("-STOP");
            host.open();
        }
        for (_, mut client) in held {
            client.write("GET /safe HTTP/1.1\r\n");
            leaves.go(client);
        }
        if stopped {
            proxy.signal("-CONT");
        } else {
            // What has come before is read before this is answered.
            proxy
                .client()
                .ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            host.open();
        }
        for (id, mut client) in served {
            assert_eq!(client.answer().map(|a| a.status()), Some(200), "{id}");
        }
        let further = host.all();
        assert!(
            further.is_empty(),
            "sent though their clients had left: {further:?} ({stopped}, {leaves:?})"
        );
    }
}

/// Signals that come together, before the first word of the list service: what was taken is answered, and the end is none
/// but a good one. The process stands still as they come, so that it finds them side by side.
#[test]
fn signals_that_cross_lose_nothing() {
    for signals in [["-TERM", "-TERM"], ["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let (discovery, other, host) = (Discovery::start(), Discovery::start(), Gated::start());
        let listen = "127.0.0.1:0".parse().expect("an address");
        let known = [entry("s-1", host.address, "up", 0)];
        let mut proxy =
            Proxy::with_config(PROGRAM, &config(listen, discovery.address, 1_024, &known));
        let (mut taken, mut comes) = (proxy.client(), proxy.client());
        taken.write(&request("unsafe", "3000m", "taken"));
        assert_eq!(
            host.came.recv_timeout(EVENT_TIMEOUT).as_deref(),
            Ok("taken")
        );
        proxy.signal("-STOP");
        // The file that SIGHUP reads names another list service.
        proxy.reload(&config(proxy.address, other.address, 1_024, &[]));
        signals.iter().for_each(|signal| proxy.signal(signal));
        comes.write(&request("unsafe", "3000m", "comes"));
        host.open();
        proxy.signal("-CONT");
        for client in [&mut taken, &mut comes] {
            assert_eq!(
                client.answer().map(|a| a.status()),
                Some(200),
                "{signals:?}"
            );
            assert!(client.answer().is_none(), "and its connection is closed");
        }
        assert!(proxy.exits_successfully(), "it exits 0: {signals:?}");
    }
}
