//! Tests of the driver that look into its state.

use super::*;
use crate::net::socket::Tcp;
use crate::net::upstream::{AttemptOptions, Client, IdleLimits, Request};
use crate::net::{Descriptors, MemoryBudget};
use badgerramp_decisions::settings::Transport;
use badgerramp_decisions::{CallPolicy, ClassId, ListUpdateKind};
use hyper::http::{HeaderMap, Method, Uri};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// A client that waits for whatever comes.
struct Waits;

impl Client for Waits {
    fn is_connected(&self) -> bool {
        true
    }
}

fn driver() -> Driver {
    driver_with(None)
}

fn driver_with(subset: Option<Subset>) -> Driver {
    let clock = Clock::start();
    let transport = Transport {
        max_open: 9,
        conn_idle: 60_000_000,
        connect_timeout: 9_000_000,
    };
    let pool = ConnectionPool::new(
        transport,
        IdleLimits {
            per_endpoint: 16,
            time: Micros::MAX,
        },
        Descriptors::new(9),
        MemoryBudget::new(1 << 20),
        Rc::new(Tcp),
        clock,
    );
    let facts = PlatformSettings {
        settings: Settings::default(),
        classes: vec![],
        tenants: vec![],
        transport,
    };
    Driver::new(7, facts, false, subset, clock, pool)
}

fn request() -> Request {
    let (uri, headers) = (Uri::from_static("/a"), HeaderMap::new());
    let answers = std::sync::Arc::new(badgerramp_route::ResponseRules::platform());
    let options = Rc::new(AttemptOptions {
        connect_timeout: 1,
        answers,
        max_body_len: 1,
    });
    Request {
        method: Method::GET,
        uri,
        headers,
        body: bytes::Bytes::new(),
        options,
    }
}

/// The module ends each call by itself; should it ever forget one, the client still gets its answer.
#[tokio::test(flavor = "current_thread")]
async fn a_call_that_the_module_forgot_ends_at_its_deadline_once() {
    let driver = driver();
    let deadline = driver.clock.now() + 30_000;
    let (sender, receiver) = oneshot::channel();
    let call = CallId(99);
    let (request, class, client) = (Rc::new(request()), ClassId(0), Rc::new(Waits));
    let (answer, attempts) = (Some(sender), Vec::new());
    let forgotten = Call {
        client,
        request,
        class,
        deadline,
        answer,
        attempts,
        last_error: None,
    };
    driver.core.borrow_mut().calls.insert(call, forgotten);
    driver.core.borrow_mut().open_calls += 1;
    driver
        .core
        .borrow_mut()
        .timers
        .insert((deadline, Due::Deadline(call)));
    tokio::select! {
        () = driver.timers() => {}
        answer = receiver => assert!(matches!(answer, Ok(Answer::Overdue))),
    }
    assert!(driver.clock.now() >= deadline);
    assert_eq!(
        (driver.open_calls(), driver.core.borrow().calls.len()),
        (0, 0)
    );
    driver.client_disconnected(call);
    assert_eq!(driver.open_calls(), 0, "a second end changes nothing");
}

/// Start times are Unix time: on a clock of another origin a cold host would look warm, or never warm up.
#[test]
fn the_clock_runs_on_unix_time_so_that_starts_compare() {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a date")
        .as_micros() as Micros;
    let now = driver().clock.now();
    assert!(now.abs_diff(unix) < 5_000_000, "{now} {unix}");
    let driver = driver();
    let list = format!(
        r#"[{{"name":"s","address":"127.0.0.1:9","status":"up","since_ms":{}}}]"#,
        unix / 1_000
    );
    let list: Vec<Endpoint> = serde_json::from_str(&list).expect("a list");
    driver.members(ListUpdateKind::Full, &list);
    assert_eq!(
        driver.core.borrow().hosts[&EndpointId(0)].started,
        unix / 1_000 * 1_000
    );
}

/// On a day on which hosts are ever new, every one met was remembered for good; and what is still out at one that
/// has gone must concern nobody else, also when its name comes back.
#[tokio::test(flavor = "current_thread")]
async fn a_host_that_is_gone_is_forgotten_and_its_number_not_given_again() {
    let driver = driver();
    let list = |name: &str, status: &str| -> Vec<Endpoint> {
        let text = format!(r#"[{{"name":"{name}","address":"127.0.0.1:9","status":"{status}"}}]"#);
        serde_json::from_str(&text).expect("a list")
    };
    for n in 0..50 {
        driver.members(ListUpdateKind::Full, &list(&format!("s{n}"), "up"));
    }
    let number = driver.core.borrow().server_ids["s49"];
    driver.members(ListUpdateKind::Delta, &list("s49", "removed"));
    assert_eq!(
        (
            driver.core.borrow().hosts.len(),
            driver.core.borrow().server_ids.len()
        ),
        (0, 0)
    );
    driver.members(ListUpdateKind::Delta, &list("s49", "up"));
    assert_ne!(driver.core.borrow().server_ids["s49"], number);
}

/// Of a large fleet the module hears of the subset alone; what drains, joins or fails shows at once.
#[tokio::test(flavor = "current_thread")]
async fn the_module_is_told_of_the_subset_alone_and_of_every_change_to_it() {
    let instance = badgerramp_subset::Instance {
        number: 3,
        count: 500,
    };
    let driver = driver_with(Some(Subset::new(
        badgerramp_subset::SubsetConfig::with_size(10),
        instance,
    )));
    let list = |names: &[u32], status: &str| -> Vec<Endpoint> {
        let one =
            |n: &u32| format!(r#"{{"name":"s{n}","address":"127.0.0.1:9","status":"{status}"}}"#);
        let text = format!("[{}]", names.iter().map(one).collect::<Vec<_>>().join(","));
        serde_json::from_str(&text).expect("a list")
    };
    let told = || driver.core.borrow().balancer.endpoint_counts().listed;
    let members = || {
        driver
            .core
            .borrow()
            .subset
            .as_ref()
            .map_or(vec![], |view| view.subset.members().collect())
    };
    driver.members(
        ListUpdateKind::Full,
        &list(&(0..1_000).collect::<Vec<_>>(), "up"),
    );
    let first: Vec<u32> = members();
    assert_eq!(
        (told(), driver.chosen()),
        (first.len(), (first.len(), 1_000))
    );
    assert!((5..=40).contains(&first.len()), "{first:?}");
    assert!(
        driver
            .core
            .borrow()
            .subset
            .as_ref()
            .is_some_and(|c| c.settings.balancers < 20),
        "500 share 1,000"
    );
    // Numbers are given in the list's order.
    driver.members(ListUpdateKind::Delta, &list(&first[..2], "draining"));
    assert_eq!(
        (told(), members().len()),
        (first.len() - 2, first.len() - 2)
    );
    assert!(first[..2].iter().all(|n| !members().contains(n)));
    driver.members(ListUpdateKind::Delta, &list(&first[..1], "up"));
    assert!(members().contains(&first[0]) && told() == members().len());
    // The whole list without one of them.
    let rest: Vec<u32> = (0..1_000).filter(|n| *n != first[3]).collect();
    driver.members(ListUpdateKind::Full, &list(&rest, "up"));
    assert!(!members().contains(&first[3]) && told() == members().len());
    // All of the rest go: others take their place.
    driver.members(ListUpdateKind::Delta, &list(&members(), "removed"));
    assert!(told() >= 5 && told() == members().len());
    assert!(driver.audit().is_empty());
}

/// More than the settings allow are turned away before the module sees them.
#[tokio::test(flavor = "current_thread")]
async fn calls_are_bounded_and_a_client_that_leaves_makes_room() {
    let driver = driver();
    let intake = || Intake {
        client: Rc::new(Waits),
        class: ClassId(0),
        tenant: None,
        deadline: driver.clock.now() + 60_000_000,
        resent: false,
        terms: CallPolicy::default(),
    };
    let held: Vec<_> = (0..9)
        .map(|_| driver.start_call(intake(), request()).expect("room"))
        .collect();
    assert!(driver.start_call(intake(), request()).is_none());
    driver.client_disconnected(held[3].0);
    assert!(driver.start_call(intake(), request()).is_some());
}
