//! What a request's head makes of it: class, time, terms, or the answer that turns it away. Two forms are known: the
//! platform's, which is strict, and the sidecar's, which is plain HTTP with the operator's routes.

use super::exchange::Manner;
use super::hosts;
use badgerramp_config::{Config, ANSWER_ROOM};
use badgerramp_decisions::settings::Facts;
use badgerramp_decisions::{ClassId, Micros, Repeat, Terms};
use badgerramp_policy::{meet, meet_answers, Call, Key, Side};
use badgerramp_route::{Answers, Head, Route, Table, Timing};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Longest time of a client that is believed.
const TIME_MOST: Micros = 600_000_000;
/// Most bytes of a body on the platform, either way.
const PLATFORM_BODY: usize = 64 * 1024;
const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// A request that may go on.
#[derive(Debug)]
pub struct Admitted {
    pub class: ClassId,
    pub tenant: Option<String>,
    /// Under what it is open, where no two may be open under one id.
    pub id: Option<HeaderValue>,
    /// From its last byte to its final answer.
    pub time: Micros,
    /// Bytes of its body, where its head tells; else it has at most [`Admitted::body_most`].
    pub length: Option<usize>,
    pub body_most: usize,
    pub terms: Terms,
    pub manner: Rc<Manner>,
}

/// The answer to a request that does not go on.
#[derive(Debug)]
pub struct Turned {
    pub status: StatusCode,
    pub text: Cow<'static, str>,
    /// Its connection closes: what follows on it may not be what it seems.
    pub close: bool,
    /// It may come again: it is refused, with advice when.
    pub again: bool,
}

fn turned(status: StatusCode, text: impl Into<Cow<'static, str>>) -> Turned {
    Turned { status, text: text.into(), close: true, again: false }
}

fn refused(text: impl Into<Cow<'static, str>>) -> Turned {
    Turned { status: StatusCode::SERVICE_UNAVAILABLE, text: text.into(), close: false, again: true }
}

/// How requests are read.
pub enum Rules {
    Platform(Platform),
    Sidecar(Box<Sidecar>),
    /// Between two policies: what both take, as both take it.
    Middle(Box<Middle>),
    /// Cut off from control: these classes of one alone.
    Floor(Box<Floor>),
}

impl Rules {
    /// Reads a head; what concerns this connection alone is taken out of it.
    pub fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Turned> {
        match self {
            Rules::Platform(platform) => platform.admit(parts, client),
            Rules::Sidecar(sidecar) => sidecar.admit(parts, client),
            Rules::Middle(middle) => middle.admit(parts, client),
            Rules::Floor(floor) => floor.admit(parts, client),
        }
    }
}

/// A class as the platform names it, and what its requests bear.
struct Class {
    name: String,
    method: Method,
    narrowed: Narrowed,
}

/// What holds for a class or a route, made once.
struct Narrowed {
    timing: Timing,
    manner: Rc<Manner>,
}

/// The platform's form.
pub struct Platform {
    /// In the order of their numbers.
    classes: Vec<Class>,
    /// The operator's routes, if there are any, and what each makes of its class.
    routes: Option<(Table, Vec<Narrowed>)>,
}

impl Platform {
    /// The platform's classes as its settings give them, narrowed by what an operator's file says.
    pub fn new(facts: &Facts, narrowed: Option<(Vec<Timing>, Table)>) -> Self {
        let answers = Arc::new(Answers::platform());
        let plain = facts.transport.connect_timeout;
        let make = |timing: Option<Timing>| {
            let connect = timing.map_or(plain, |t| t.connect.min(plain));
            let manner = Manner { connect, answers: Arc::clone(&answers), body_most: PLATFORM_BODY };
            let timing = timing.unwrap_or(Timing::UNLIMITED);
            Narrowed { timing, manner: Rc::new(manner) }
        };
        let timings = narrowed.as_ref().map(|n| &n.0);
        let class = |(place, (name, class)): (usize, (&String, &badgerramp_decisions::Class))| Class {
            name: name.clone(),
            method: match class.repeat {
                Repeat::Free => Method::GET,
                Repeat::Guarded { .. } | Repeat::SingleShot => Method::POST,
            },
            narrowed: make(timings.and_then(|t| t.get(place)).copied()),
        };
        let classes = facts.classes.iter().zip(&facts.settings.classes).enumerate().map(class).collect();
        let routes = narrowed.map(|(_, table)| {
            let all = table.routes().iter().map(|r| make(Some(r.timing))).collect();
            (table, all)
        });
        Platform { classes, routes }
    }

    /// Has the head the form that clients of ours give it? What has not never reaches a host.
    fn admit(&self, parts: &Parts, client: IpAddr) -> Result<Admitted, Turned> {
        let Some(path) = parts.uri.path().strip_prefix('/').filter(|_| parts.uri.authority().is_none())
        else {
            return Err(turned(StatusCode::BAD_REQUEST, "odd path"));
        };
        let name = path.split('/').next().unwrap_or_default();
        let Some(number) = self.classes.iter().position(|c| c.name == name) else {
            return Err(turned(StatusCode::NOT_FOUND, "no such class"));
        };
        let class = &self.classes[number];
        if class.method != parts.method {
            return Err(turned(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
        }
        let headers = &parts.headers;
        let time = match single(headers, "x-timeout").map(|v| v.to_str().ok().and_then(timeout)) {
            Some(Some(time)) => time,
            _ => return Err(turned(StatusCode::BAD_REQUEST, "X-Timeout missing or odd")),
        };
        let id = match single(headers, "x-request-id") {
            Some(id) if !id.is_empty() => id.clone(),
            _ => return Err(turned(StatusCode::BAD_REQUEST, "X-Request-ID missing or odd")),
        };
        // The library drops the length of a request that bears a transfer coding too, so that the two can't be
        // compared here: a request tells its length, and nothing else of its framing.
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(turned(StatusCode::LENGTH_REQUIRED, "no transfer coding"));
        }
        let length = match length(headers) {
            Some(length) => length,
            None if parts.method == Method::GET => 0,
            None => return Err(turned(StatusCode::LENGTH_REQUIRED, "a length is wanted")),
        };
        if parts.method == Method::GET && length > 0 {
            return Err(turned(StatusCode::BAD_REQUEST, "no body with this method"));
        }
        if length > PLATFORM_BODY {
            return Err(turned(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"));
        }
        let narrowed = self.narrowed(number, parts, client);
        Ok(Admitted {
            class: ClassId(number),
            tenant: headers.get("x-tenant-id").and_then(|v| v.to_str().ok()).map(str::to_owned),
            id: Some(id),
            time: time.saturating_sub(ANSWER_ROOM).max(1).min(narrowed.timing.total),
            length: Some(length),
            body_most: PLATFORM_BODY,
            terms: narrowed.timing.terms(false),
            manner: Rc::clone(&narrowed.manner),
        })
    }

    /// The class is the path's. A route that names another one says nothing of this request.
    fn narrowed(&self, class: usize, parts: &Parts, client: IpAddr) -> &Narrowed {
        let plain = &self.classes[class].narrowed;
        let Some((table, all)) = &self.routes else { return plain };
        let found = table.find_head(&head(parts, client)).ok().flatten();
        let found = found.filter(|(_, route)| route.class == class);
        found.map_or(plain, |(place, _)| &all[place])
    }
}

/// Plain HTTP with the operator's routes.
pub struct Sidecar {
    config: Config,
    /// The number of each class of the file.
    classes: Vec<ClassId>,
    manners: Vec<Rc<Manner>>,
    ids: RefCell<Pcg32>,
    no_route: StatusCode,
}

impl Sidecar {
    /// The form that a file gives; `classes` are the numbers of its classes, in their order.
    pub fn new(config: Config, classes: Vec<ClassId>, seed: u64) -> Self {
        let body_most = config.limits.body;
        let manner =
            |r: &Route| Manner { connect: r.timing.connect, answers: Arc::clone(&r.answers), body_most };
        let manners = config.routes.routes().iter().map(|r| Rc::new(manner(r))).collect();
        let no_route = StatusCode::from_u16(config.no_route.status).unwrap_or(StatusCode::NOT_FOUND);
        Sidecar { config, classes, manners, ids: RefCell::new(Pcg32::seed_from_u64(seed)), no_route }
    }

    /// The numbers of the classes with these names.
    pub fn numbers(&self, names: &[String]) -> Vec<ClassId> {
        let named =
            self.config.classes.iter().zip(&self.classes).filter(|(class, _)| names.contains(&class.name));
        named.map(|(_, &number)| number).collect()
    }

    /// The file that it goes by.
    pub fn config(&self) -> &Config {
        &self.config
    }

    fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Turned> {
        plain_form(parts)?;
        let looked = self.look(parts, client)?;
        self.dress(parts);
        Ok(looked.admitted)
    }

    /// What it makes of a head, which stays as it is.
    fn look(&self, parts: &Parts, client: IpAddr) -> Result<Looked, Turned> {
        let found = self.config.routes.find_head(&head(parts, client));
        let Some((place, route)) =
            found.map_err(|fault| turned(StatusCode::BAD_REQUEST, fault.to_string()))?
        else {
            let text = Cow::Owned(self.config.no_route.text.clone());
            // A body that is not read leaves nothing that could follow on its connection.
            let body = [header::TRANSFER_ENCODING, header::CONTENT_LENGTH];
            let close = body.iter().any(|name| parts.headers.contains_key(name));
            return Err(Turned { status: self.no_route, text, close, again: false });
        };
        let class = &self.config.classes[route.class].class;
        let headers = &parts.headers;
        let asked = match (headers.get("x-timeout"), single(headers, "x-timeout")) {
            (None, _) => class.deadline,
            (_, Some(value)) => value
                .to_str()
                .ok()
                .and_then(timeout)
                .ok_or_else(|| turned(StatusCode::BAD_REQUEST, "odd X-Timeout"))?,
            _ => return Err(turned(StatusCode::BAD_REQUEST, "more than one X-Timeout")),
        };
        let chunked = headers.contains_key(header::TRANSFER_ENCODING);
        let length = if chunked { None } else { Some(length(headers).unwrap_or(0)) };
        if length.is_some_and(|l| l > self.config.limits.body) {
            return Err(turned(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        // Without its key a keyed call is one that no host could tell from its repeat.
        let guarded = matches!(class.repeat, Repeat::Guarded { .. });
        let key = || self.config.routes.text(route.key.as_ref()?, &head(parts, client)).map(Cow::into_owned);
        let key = if guarded { key() } else { None };
        let once = guarded && key.is_none();
        let admitted = Admitted {
            class: self.classes[route.class],
            tenant: route
                .tenant
                .as_ref()
                .and_then(|t| self.config.routes.text(t, &head(parts, client)))
                .map(Cow::into_owned),
            id: None,
            time: asked.saturating_sub(ANSWER_ROOM).max(1).min(route.timing.total),
            length,
            body_most: self.config.limits.body,
            terms: route.timing.terms(once),
            manner: Rc::clone(&self.manners[place]),
        };
        Ok(Looked { admitted, repeat: class.repeat, key: key.map_or(Key::None, Key::Value) })
    }

    /// Takes out what concerns this connection alone, and puts in what goes with each request.
    fn dress(&self, parts: &mut Parts) {
        hop_by_hop(&mut parts.headers);
        parts.headers.append(header::VIA, HeaderValue::from_static("1.1 badgerramp"));
        if !parts.headers.contains_key(header::HOST) {
            parts.headers.insert(header::HOST, HeaderValue::from_static("localhost"));
        }
        if !parts.headers.contains_key(X_REQUEST_ID) {
            let id = format!("{:016x}", self.ids.borrow_mut().next_u64());
            parts.headers.extend(HeaderValue::from_str(&id).ok().map(|id| (X_REQUEST_ID, id)));
        }
    }
}

/// What a policy makes of a request, with what hosts would know it again by.
struct Looked {
    admitted: Admitted,
    repeat: Repeat,
    key: Key,
}

impl Looked {
    fn call(&self) -> Call {
        Call {
            repeat: self.repeat,
            key: self.key.clone(),
            time: self.admitted.time,
            terms: self.admitted.terms,
            connect: self.admitted.manner.connect,
            body: self.admitted.body_most,
        }
    }
}

/// Between two policies.
pub struct Middle {
    old: Rc<Rules>,
    new: Rc<Rules>,
    /// What answers mean where both read them alike, by the numbers of their routes.
    answers: RefCell<HashMap<(usize, usize), Arc<Answers>>>,
}

impl Middle {
    /// Between these; `None` if they are no policies of a sidecar.
    pub fn between(old: Rc<Rules>, new: Rc<Rules>) -> Option<Self> {
        let alone = |rules: &Rules| matches!(rules, Rules::Sidecar(_));
        (alone(&old) && alone(&new)).then(|| Middle { old, new, answers: RefCell::default() })
    }

    fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Turned> {
        let (Rules::Sidecar(old), Rules::Sidecar(new)) = (&*self.old, &*self.new) else {
            return Err(refused("no policy"));
        };
        plain_form(parts)?;
        let (a, b) = (old.look(parts, client), new.look(parts, client));
        let calls = (a.as_ref().ok().map(Looked::call), b.as_ref().ok().map(Looked::call));
        let met = meet(calls.0.as_ref(), calls.1.as_ref());
        let met = met.map_err(|unlike| refused(format!("a change of policy is under way: {unlike}")))?;
        let (a, b) = match (a, b) {
            (Ok(a), Ok(b)) => (a.admitted, b.admitted),
            // Turned away by both.
            (Err(turned), _) | (_, Err(turned)) => return Err(turned),
        };
        let Some(met) = met else { return Err(refused("no policy")) };
        let answers = self.answers(&a.manner, &b.manner);
        let manner = Rc::new(Manner { connect: met.connect, answers, body_most: met.body });
        let chosen = if met.class == Side::Old { a } else { b };
        old.dress(parts);
        Ok(Admitted { time: met.time, terms: met.terms, body_most: met.body, manner, ..chosen })
    }

    /// Reckoned once for each pair of routes that meet.
    fn answers(&self, old: &Rc<Manner>, new: &Rc<Manner>) -> Arc<Answers> {
        // The rules hold their manners as long as this lives.
        let places = (Rc::as_ptr(old) as usize, Rc::as_ptr(new) as usize);
        let mut known = self.answers.borrow_mut();
        let met = known.entry(places).or_insert_with(|| Arc::new(meet_answers(&old.answers, &new.answers)));
        Arc::clone(met)
    }
}

/// Cut off from control.
pub struct Floor {
    rules: Rc<Rules>,
    classes: Vec<ClassId>,
}

impl Floor {
    /// These classes alone.
    pub fn of(rules: Rc<Rules>, classes: Vec<ClassId>) -> Self {
        Floor { rules, classes }
    }

    fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Turned> {
        let admitted = self.rules.admit(parts, client)?;
        match self.classes.contains(&admitted.class) {
            true => Ok(admitted),
            false => Err(refused("cut off from control, and no call of the floor")),
        }
    }
}

/// What routes and expressions see of a request.
fn head(parts: &Parts, client: IpAddr) -> Head<'_> {
    let (path, query) = (parts.uri.path(), parts.uri.query().unwrap_or_default());
    Head { method: &parts.method, path, query, headers: &parts.headers, client }
}

/// Puts a request into the form that routes are looked up by.
fn plain_form(parts: &mut Parts) -> Result<(), Turned> {
    if parts.method == Method::CONNECT {
        return Err(turned(StatusCode::METHOD_NOT_ALLOWED, "no tunnels"));
    }
    origin_form(parts)
}

/// A target that names a host (RFC 9112, 3.2.2) goes on as one that does not; the host it names takes the place of the
/// header.
fn origin_form(parts: &mut Parts) -> Result<(), Turned> {
    let Some(authority) = parts.uri.authority() else { return Ok(()) };
    let bad = || turned(StatusCode::BAD_REQUEST, "odd target");
    let host = HeaderValue::from_str(authority.as_str()).map_err(|_| bad())?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse::<Uri>().map_err(|_| bad())?;
    parts.headers.insert(header::HOST, host);
    parts.uri = uri;
    Ok(())
}

/// Takes out what concerns one connection only (RFC 9110, 7.6.1), also what the message itself names as such.
pub fn hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        // These are what a request is known by: naming them would take them from a charge.
        .filter(|name| !["host", "idempotency-key", "x-request-id", "content-type"].contains(&name.as_str()))
        .collect();
    named.iter().for_each(|name| {
        headers.remove(name);
    });
    hosts::strip(headers);
}

/// The only value of a header.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut all = headers.get_all(name).iter();
    all.next().filter(|_| all.next().is_none())
}

fn length(headers: &HeaderMap) -> Option<usize> {
    single(headers, header::CONTENT_LENGTH.as_str()).and_then(|v| v.to_str().ok()?.parse().ok())
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn timeout(text: &str) -> Option<Micros> {
    let text = text.trim();
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let time = number.parse::<Micros>().ok()?.saturating_mul(scale);
    (time > 0).then_some(time.min(TIME_MOST))
}
