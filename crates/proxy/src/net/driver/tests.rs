//! Tests of the driver that inspect its state.

use super::*;
use crate::net::socket::Tcp;
use crate::net::upstream::{AttemptOptions, Client, IdleLimits, Request};
use crate::net::{Descriptors, MemoryBudget};
use badgerramp_decisions::settings::Transport;
use badgerramp_decisions::{CallPolicy, ClassId, ListUpdateKind};
use hyper::http::{HeaderMap, Method, Uri};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// A client that stays connected.
struct ConnectedClient;

impl Client for ConnectedClient {
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
    let platform_settings = PlatformSettings {
        settings: Settings::default(),
        classes: vec![],
        tenants: vec![],
        transport,
    };
    Driver::new(7, platform_settings, false, subset, clock, pool)
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

/// The balancer ends each call before its deadline. Here the driver holds a call that the balancer does not know: the
/// client must get an answer all the same, and only one.
#[tokio::test(flavor = "current_thread")]
async fn a_call_unknown_to_the_balancer_is_answered_once_at_its_deadline() {
    let driver = driver();
    let deadline = driver.clock.now() + 30_000;
    let (sender, receiver) = oneshot::channel();
    let call = CallId(99);
    let (request, class, client) = (Rc::new(request()), ClassId(0), Rc::new(ConnectedClient));
    let (answer, attempts) = (Some(sender), Vec::new());
    let unknown_call = Call {
        client,
        request,
        class,
        deadline,
        answer,
        attempts,
        last_error: None,
    };
    driver.core.borrow_mut().calls.insert(call, unknown_call);
    driver.core.borrow_mut().open_calls += 1;
    driver
        .core
        .borrow_mut()
        .timers
        .insert((deadline, TimerKind::CallDeadline(call)));
    tokio::select! {
        () = driver.run_timers() => {}
        answer = receiver => assert!(matches!(answer, Ok(Answer::DeadlineExceeded))),
    }
    assert!(driver.clock.now() >= deadline);
    assert_eq!(
        (driver.open_calls(), driver.core.borrow().calls.len()),
        (0, 0)
    );
    driver.client_disconnected(call);
    assert_eq!(
        driver.open_calls(),
        0,
        "ending the call again changes nothing"
    );
}

/// The start times of endpoints are Unix time. With a clock of another origin, slow start would be skipped or never
/// end.
#[test]
fn the_clock_and_the_start_times_of_endpoints_are_unix_time() {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970")
        .as_micros() as Micros;
    let now = driver().clock.now();
    assert!(now.abs_diff(unix) < 5_000_000, "{now} {unix}");
    let driver = driver();
    let list = format!(
        r#"[{{"name":"s","address":"127.0.0.1:9","status":"up","since_ms":{}}}]"#,
        unix / 1_000
    );
    let list: Vec<Endpoint> = serde_json::from_str(&list).expect("a list");
    driver.apply_endpoint_list(ListUpdateKind::Full, &list);
    assert_eq!(
        driver.core.borrow().endpoints[&EndpointId(0)].started,
        unix / 1_000 * 1_000
    );
}

/// Where endpoints are replaced all day, memory would grow if removed ones were kept. Their ids must not be reused,
/// even for the same name: the outcome of an attempt that is still in flight would be attributed to another endpoint.
#[tokio::test(flavor = "current_thread")]
async fn a_removed_endpoint_is_forgotten_and_its_id_is_not_reused() {
    let driver = driver();
    let list = |name: &str, status: &str| -> Vec<Endpoint> {
        let text = format!(r#"[{{"name":"{name}","address":"127.0.0.1:9","status":"{status}"}}]"#);
        serde_json::from_str(&text).expect("a list")
    };
    for n in 0..50 {
        driver.apply_endpoint_list(ListUpdateKind::Full, &list(&format!("s{n}"), "up"));
    }
    let id = driver.core.borrow().endpoint_ids["s49"];
    driver.apply_endpoint_list(ListUpdateKind::Delta, &list("s49", "removed"));
    assert_eq!(
        (
            driver.core.borrow().endpoints.len(),
            driver.core.borrow().endpoint_ids.len()
        ),
        (0, 0)
    );
    driver.apply_endpoint_list(ListUpdateKind::Delta, &list("s49", "up"));
    assert_ne!(driver.core.borrow().endpoint_ids["s49"], id);
}

/// A new process at the address of one that had gone was taken for the old one, until the list told that that was gone.
#[tokio::test(flavor = "current_thread")]
async fn an_endpoint_gets_no_calls_once_another_has_started_at_its_address() {
    let driver = driver();
    let entry = |name: &str, status: &str, since_ms: u64| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:9","status":"{status}","since_ms":{since_ms}}}"#
        )
    };
    let apply = |kind: ListUpdateKind, entries: &[String]| {
        let text = format!("[{}]", entries.join(","));
        let list: Vec<Endpoint> = serde_json::from_str(&text).expect("a list");
        driver.apply_endpoint_list(kind, &list);
    };
    let has_target = |name: &str| {
        let core = driver.core.borrow();
        let id = core.endpoint_ids[name];
        core.endpoints[&id].target(id).is_some()
    };
    let listed = || driver.core.borrow().balancer.endpoint_counts().listed;
    apply(ListUpdateKind::Full, &[entry("old", "up", 0)]);
    assert!(has_target("old"));
    apply(ListUpdateKind::Delta, &[entry("new", "up", 5_000)]);
    assert_eq!(
        (has_target("old"), has_target("new"), listed()),
        (false, true, 1)
    );
    // A list that still has the old one, in either order.
    let (old, new) = (entry("old", "up", 0), entry("new", "up", 5_000));
    for list in [[old.clone(), new.clone()], [new, old]] {
        apply(ListUpdateKind::Full, &list);
        assert_eq!(
            (has_target("old"), has_target("new"), listed()),
            (false, true, 1)
        );
    }
    // Once the new one is gone, the list is believed again.
    apply(
        ListUpdateKind::Delta,
        &[entry("new", "removed", 5_000), entry("old", "up", 0)],
    );
    assert!(has_target("old"));
}

/// In a large fleet the balancer knows only the members of the subset. Members that drain, return or are removed change
/// the subset at once.
#[tokio::test(flavor = "current_thread")]
async fn the_balancer_receives_only_the_subset_and_each_change_of_it() {
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
    let known_count = || driver.core.borrow().balancer.endpoint_counts().listed;
    let members = || {
        driver
            .core
            .borrow()
            .subset
            .as_ref()
            .map_or(vec![], |view| view.subset.members().collect())
    };
    driver.apply_endpoint_list(
        ListUpdateKind::Full,
        &list(&(0..1_000).collect::<Vec<_>>(), "up"),
    );
    let initial: Vec<u32> = members();
    assert_eq!(
        (known_count(), driver.subset_and_total_size()),
        (initial.len(), (initial.len(), 1_000))
    );
    assert!((5..=40).contains(&initial.len()), "{initial:?}");
    assert!(
        driver
            .core
            .borrow()
            .subset
            .as_ref()
            .is_some_and(|view| view.settings.balancers < 20),
        "500 proxies share 1,000 endpoints"
    );
    // Ids are assigned in the order of the list, so that endpoint `s7` has id 7.
    driver.apply_endpoint_list(ListUpdateKind::Delta, &list(&initial[..2], "draining"));
    assert_eq!(
        (known_count(), members().len()),
        (initial.len() - 2, initial.len() - 2)
    );
    assert!(initial[..2].iter().all(|id| !members().contains(id)));
    driver.apply_endpoint_list(ListUpdateKind::Delta, &list(&initial[..1], "up"));
    assert!(members().contains(&initial[0]) && known_count() == members().len());
    // A complete list without one of the members.
    let rest: Vec<u32> = (0..1_000).filter(|id| *id != initial[3]).collect();
    driver.apply_endpoint_list(ListUpdateKind::Full, &list(&rest, "up"));
    assert!(!members().contains(&initial[3]) && known_count() == members().len());
    // All members are removed: others take their place.
    driver.apply_endpoint_list(ListUpdateKind::Delta, &list(&members(), "removed"));
    assert!(known_count() >= 5 && known_count() == members().len());
    assert!(driver.audit().is_empty());
}

/// Calls beyond the maximum number of open calls are rejected before they reach the balancer.
#[tokio::test(flavor = "current_thread")]
async fn open_calls_are_limited_and_a_client_that_disconnects_frees_its_slot() {
    let driver = driver();
    let new_call = || NewCall {
        client: Rc::new(ConnectedClient),
        class: ClassId(0),
        definition: None,
        tenant: None,
        deadline: driver.clock.now() + 60_000_000,
        answer_due: None,
        is_retry: false,
        policy: CallPolicy::default(),
    };
    let open_calls: Vec<_> = (0..9)
        .map(|_| {
            driver
                .start_call(new_call(), request())
                .expect("a free slot")
        })
        .collect();
    assert!(driver.start_call(new_call(), request()).is_none());
    driver.client_disconnected(open_calls[3].0);
    assert!(driver.start_call(new_call(), request()).is_some());
}

/// A reload assigned the id of a class that was gone to another class while a request of the old class was being received,
/// as only the classes of calls that had started counted as in use.
#[tokio::test(flavor = "current_thread")]
async fn a_class_is_in_use_while_any_request_of_it_is_being_received() {
    let driver = driver();
    assert!(!driver.in_use(ClassId(0)));
    let reservations = [0, 0, 1].map(|class| driver.reserve_class(ClassId(class)));
    let [first, second, other] = reservations;
    drop((first, other));
    assert!(driver.in_use(ClassId(0)) && !driver.in_use(ClassId(1)));
    drop(second);
    assert!(!driver.in_use(ClassId(0)));
}

/// A new configuration before a shutdown decides when the process may be killed; one that comes during the shutdown can only
/// bring that forward.
#[tokio::test(flavor = "current_thread")]
async fn the_shutdown_follows_the_longest_deadline_of_the_newest_settings() {
    let settings_with = |deadline| {
        let mut settings = Settings::default();
        settings.classes[0].deadline = deadline;
        settings
    };
    let driver = driver();
    driver.reconfigure(settings_with(2_000_000), vec![], 9);
    let schedule = driver.start_shutdown();
    assert_eq!(schedule.kill_at() - schedule.late_after(), 2_000_000);
    assert_eq!(driver.start_shutdown(), schedule, "a second signal");
    driver.reconfigure(settings_with(2_500_000), vec![], 9);
    assert_eq!(driver.shutdown(), Some(schedule));
    driver.reconfigure(settings_with(400_000), vec![], 9);
    let schedule = driver.shutdown().expect("a schedule");
    assert_eq!(schedule.kill_at() - schedule.late_after(), 400_000);
}
