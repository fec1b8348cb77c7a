//! Types, folding, interning and the static bound of cost: from trees to a program.
//!
//! All expressions of a file share one arena. Equal parts are one node, so that a part that several routes ask for is
//! evaluated once a request at the most.

use crate::ast::{Ast, Infix, Kind, Mistake};
use crate::eval::{Memo, Unmetered};
use crate::program::{Base, Node, Program, Type};
use crate::value::{Head, Value};
use crate::{parse, Id};
use http::header::HeaderName;
use ipnet::IpNet;
use regex::RegexBuilder;
use std::collections::HashMap;

/// Bytes that one compiled pattern may take, and all of a program.
const PATTERN_BYTES: usize = 128 * 1024;
const PATTERNS_BYTES: usize = 4 * 1024 * 1024;

/// What an expression is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// Whether a route takes a request: a bool.
    Condition,
    /// A key or a tenant: a string, which may be absent.
    Text,
    /// Anything, as a part of an expression that is explained.
    Any,
}

/// Collects the expressions of a file.
#[derive(Debug, Default)]
pub struct Builder {
    program: Program,
    known: HashMap<Node, Id>,
    patterns: HashMap<String, u32>,
    pattern_bytes: usize,
}

/// Names of inputs, for whoever mistypes one.
const INPUTS: [&str; 12] = [
    "method",
    "path",
    "segments",
    "length",
    "timeout",
    "client",
    "header",
    "headers",
    "header_bytes",
    "cookie",
    "query",
    "query_all",
];
const FUNCTIONS: &str =
    "present(x), lower(s), trim(s), split(s, \",\"), nth(list, 0), int(s), len(x), hash(s, 100), concat(a, b, ...)";

impl Builder {
    /// Takes an expression in.
    ///
    /// # Errors
    /// All that is wrong with it, each with its place in the text.
    pub fn add(&mut self, text: &str, wanted: Wanted) -> Result<Id, Vec<Mistake>> {
        self.add_ast(&parse(text)?, wanted)
    }

    /// Takes a parsed expression in, or a part of one.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn add_ast(&mut self, ast: &Ast, wanted: Wanted) -> Result<Id, Vec<Mistake>> {
        let mut mistakes = Vec::new();
        let (id, kind) = self.node(&mut mistakes, ast);
        let fits = match wanted {
            Wanted::Condition => kind == Type::plain(Base::Bool),
            Wanted::Text => kind.base == Base::Str,
            Wanted::Any => true,
        };
        if mistakes.is_empty() && !fits {
            let allowed = match wanted {
                Wanted::Condition => "a bool, like method == \"POST\"",
                _ => "a string, like header[\"x-invoice\"] or concat(...)",
            };
            mistakes.push(Mistake::new(
                &ast.span,
                format!("this is a {}", kind.show()),
                allowed,
            ));
        }
        if mistakes.is_empty()
            && wanted == Wanted::Condition
            && self.program.nodes[id.0 as usize] == Node::Bool(false)
        {
            mistakes.push(Mistake::new(
                &ast.span,
                "this is never true",
                "a condition that some request meets",
            ));
        }
        if !mistakes.is_empty() {
            return Err(mistakes);
        }
        if wanted != Wanted::Any {
            self.program.roots.push(id);
        }
        Ok(id)
    }

    /// The most steps that these expressions can take together for one request.
    pub fn cost(&self, of: &[Id]) -> u64 {
        self.program.cost(of)
    }

    /// All expressions, ready to be evaluated.
    pub fn build(mut self) -> Program {
        let mut uses = vec![0_u32; self.program.nodes.len()];
        for root in &self.program.roots {
            uses[root.0 as usize] += 1;
        }
        for node in &self.program.nodes {
            node.parts()
                .iter()
                .for_each(|part| uses[part.0 as usize] += 1);
        }
        // What the bound counts once is evaluated once.
        let literal = |n: usize| self.program.literal(Id(n as u32));
        self.program.shared = uses
            .iter()
            .enumerate()
            .map(|(n, &uses)| uses > 1 && !literal(n))
            .collect();
        self.program
    }

    fn intern(&mut self, node: Node, kind: Type) -> (Id, Type) {
        if let Some(&id) = self.known.get(&node) {
            return (id, self.program.types[id.0 as usize]);
        }
        let program = &mut self.program;
        let id = Id(program.nodes.len() as u32);
        let (own, size) = program.measure(&node);
        let below: u64 = node
            .parts()
            .iter()
            .map(|p| program.costs[p.0 as usize])
            .sum();
        program.costs.push(own.most().saturating_add(below));
        program.own.push(own);
        program.sizes.push(size);
        program.types.push(kind);
        program.nodes.push(node.clone());
        self.known.insert(node, id);
        (id, kind)
    }

    /// Takes a node in. One that no request can change is evaluated here and now.
    fn fold(&mut self, node: Node, kind: Type) -> (Id, Type) {
        let literal = |id: &Id| self.program.literal(*id);
        let parts = node.parts();
        let simpler = match &node {
            Node::And(a, b) => match (
                &self.program.nodes[a.0 as usize],
                &self.program.nodes[b.0 as usize],
            ) {
                (Node::Bool(false), _) | (_, Node::Bool(false)) => Some(Err(false)),
                (Node::Bool(true), _) => Some(Ok(*b)),
                (_, Node::Bool(true)) => Some(Ok(*a)),
                _ => None,
            },
            Node::Or(a, b) => match (
                &self.program.nodes[a.0 as usize],
                &self.program.nodes[b.0 as usize],
            ) {
                (Node::Bool(true), _) | (_, Node::Bool(true)) => Some(Err(true)),
                (Node::Bool(false), _) => Some(Ok(*b)),
                (_, Node::Bool(false)) => Some(Ok(*a)),
                _ => None,
            },
            _ => None,
        };
        match simpler {
            Some(Ok(id)) => return (id, self.program.types[id.0 as usize]),
            Some(Err(truth)) => return self.intern(Node::Bool(truth), kind),
            None => {}
        }
        // A value that may be absent keeps its type: folded, it would be taken for a literal.
        if kind.optional || parts.is_empty() || !parts.iter().all(literal) {
            return self.intern(node, kind);
        }
        let (id, _) = self.intern(node, kind);
        let (method, headers) = (http::Method::GET, http::HeaderMap::new());
        let head = Head {
            method: &method,
            path: "/",
            query: "",
            headers: &headers,
            client: [127, 0, 0, 1].into(),
        };
        let folded = match self
            .program
            .value(id, &head, &mut Memo::default(), &mut Unmetered)
        {
            Value::Bool(truth) => Some(Node::Bool(truth)),
            Value::Int(number) => Some(Node::Int(number)),
            Value::Str(text) => Some(Node::Str(text.into())),
            _ => None,
        };
        match folded {
            Some(node) => self.intern(node, kind),
            None => (id, kind),
        }
    }

    fn node(&mut self, mistakes: &mut Vec<Mistake>, ast: &Ast) -> (Id, Type) {
        let span = &ast.span;
        match &ast.kind {
            Kind::Bool(truth) => self.intern(Node::Bool(*truth), Type::plain(Base::Bool)),
            Kind::Int(number) => self.intern(Node::Int(*number), Type::plain(Base::Int)),
            Kind::Duration(micros) => {
                self.intern(Node::Duration(*micros), Type::plain(Base::Duration))
            }
            Kind::Str(text) => self.intern(Node::Str(text.as_str().into()), Type::plain(Base::Str)),
            Kind::Bytes(bytes) => self.intern(
                Node::Bytes(bytes.as_slice().into()),
                Type::plain(Base::Bytes),
            ),
            Kind::List(_) => {
                mistakes.push(Mistake::new(
                    span,
                    "a list stands only behind 'in'",
                    "x in [\"a\", \"b\"]",
                ));
                self.unknown()
            }
            Kind::Name(name) => self.input(mistakes, ast, name),
            Kind::Index(name, index) => self.index(mistakes, ast, name, index),
            Kind::Call(name, parts) => self.call(mistakes, ast, name, parts),
            Kind::Not(inner) => {
                let inner = self.truth(mistakes, inner);
                match self.program.nodes[inner.0 as usize] {
                    Node::Not(twice) => (twice, Type::plain(Base::Bool)),
                    _ => self.fold(Node::Not(inner), Type::plain(Base::Bool)),
                }
            }
            Kind::And(a, b) => {
                let (a, b) = (self.truth(mistakes, a), self.truth(mistakes, b));
                // Neither can fail: the cheaper goes first.
                let (a, b) = if self.program.costs[b.0 as usize] < self.program.costs[a.0 as usize]
                {
                    (b, a)
                } else {
                    (a, b)
                };
                self.fold(Node::And(a, b), Type::plain(Base::Bool))
            }
            Kind::Or(a, b) => {
                let (a, b) = (self.truth(mistakes, a), self.truth(mistakes, b));
                let (a, b) = if self.program.costs[b.0 as usize] < self.program.costs[a.0 as usize]
                {
                    (b, a)
                } else {
                    (a, b)
                };
                self.fold(Node::Or(a, b), Type::plain(Base::Bool))
            }
            Kind::Infix(infix, a, b) => self.infix(mistakes, ast, *infix, a, b),
            Kind::Default(a, b) => {
                let (left, kind) = self.node(mistakes, a);
                let (right, other) = self.node(mistakes, b);
                if kind.base == Base::Unknown || other.base == Base::Unknown {
                    return self.unknown();
                }
                if !kind.optional {
                    let reason = format!(
                        "this is a {} and never absent: '??' says nothing",
                        kind.show()
                    );
                    mistakes.push(Mistake::new(
                        &a.span,
                        reason,
                        "a header, a cookie or another value that may be absent",
                    ));
                    return self.unknown();
                }
                if kind.base != other.base {
                    let reason = format!(
                        "the default is a {}, not a {}",
                        other.show(),
                        Type::plain(kind.base).show()
                    );
                    mistakes.push(Mistake::new(&b.span, reason, Type::plain(kind.base).show()));
                    return self.unknown();
                }
                self.fold(Node::Default(left, right), other)
            }
            Kind::Unknown => self.unknown(),
        }
    }

    fn unknown(&mut self) -> (Id, Type) {
        self.intern(Node::Bool(false), Type::plain(Base::Bool))
            .0
            .with(Type::plain(Base::Unknown))
    }

    fn truth(&mut self, mistakes: &mut Vec<Mistake>, ast: &Ast) -> Id {
        let (id, kind) = self.node(mistakes, ast);
        if kind != Type::plain(Base::Bool) && kind.base != Base::Unknown {
            let allowed = match kind.base {
                Base::Str if kind.optional => {
                    "a bool: present(...), or a comparison with a default: (... ?? \"\") == \"x\""
                }
                _ => "a bool: a comparison, present(...)",
            };
            mistakes.push(Mistake::new(
                &ast.span,
                format!("this is a {}, not a truth", kind.show()),
                allowed,
            ));
        }
        id
    }

    /// A value of this kind that is never absent.
    fn plain(&mut self, mistakes: &mut Vec<Mistake>, ast: &Ast, base: Base) -> Option<Id> {
        let (id, kind) = self.node(mistakes, ast);
        if kind.base == Base::Unknown {
            return None;
        }
        if kind.base != base {
            let (reason, allowed) = (
                format!("this is a {}", kind.show()),
                Type::plain(base).show(),
            );
            mistakes.push(Mistake::new(&ast.span, reason, allowed));
            return None;
        }
        if kind.optional {
            mistakes.push(absent(ast, kind));
            return None;
        }
        Some(id)
    }

    fn input(&mut self, mistakes: &mut Vec<Mistake>, ast: &Ast, name: &str) -> (Id, Type) {
        let (node, kind) = match name {
            "method" => (Node::Method, Type::plain(Base::Str)),
            "path" => (Node::Path, Type::plain(Base::Str)),
            "segments" => (Node::Segments, Type::plain(Base::List)),
            "length" => (Node::Length, Type::optional(Base::Int)),
            "timeout" => (Node::Timeout, Type::optional(Base::Duration)),
            "client" => (Node::Client, Type::plain(Base::Ip)),
            "header" | "headers" | "header_bytes" | "cookie" | "query" | "query_all" => {
                let reason = format!("'{name}' wants a name");
                mistakes.push(Mistake::new(&ast.span, reason, format!("{name}[\"name\"]")));
                return self.unknown();
            }
            other => {
                mistakes.push(Mistake::new(
                    &ast.span,
                    format!("'{other}' is not known"),
                    INPUTS.join(", "),
                ));
                return self.unknown();
            }
        };
        self.intern(node, kind)
    }

    fn index(
        &mut self,
        mistakes: &mut Vec<Mistake>,
        ast: &Ast,
        name: &str,
        index: &Ast,
    ) -> (Id, Type) {
        let Kind::Str(of) = &index.kind else {
            mistakes.push(Mistake::new(
                &index.span,
                "a name is a text that is written out",
                "like \"x-branch\"",
            ));
            return self.unknown();
        };
        let mut header = || match HeaderName::from_bytes(of.as_bytes()) {
            Ok(name) => Some(name),
            Err(_) => {
                mistakes.push(Mistake::new(
                    &index.span,
                    "this is no header name",
                    "letters, digits and '-'",
                ));
                None
            }
        };
        let text: Box<str> = of.as_str().into();
        let found = match name {
            "header" => header().map(|n| (Node::Header(n), Type::optional(Base::Str))),
            "header_bytes" => header().map(|n| (Node::HeaderBytes(n), Type::optional(Base::Bytes))),
            "headers" => header().map(|n| (Node::Headers(n), Type::plain(Base::List))),
            "cookie" => Some((Node::Cookie(text), Type::optional(Base::Str))),
            "query" => Some((Node::Query(text), Type::optional(Base::Str))),
            "query_all" => Some((Node::QueryAll(text), Type::plain(Base::List))),
            other => {
                let reason = format!("'{other}' has no parts by name");
                let allowed =
                    "header, headers, header_bytes, cookie, query, query_all; nth(segments, 0)";
                mistakes.push(Mistake::new(&ast.span, reason, allowed));
                None
            }
        };
        match found {
            Some((node, kind)) => self.intern(node, kind),
            None => self.unknown(),
        }
    }

    fn call(
        &mut self,
        mistakes: &mut Vec<Mistake>,
        ast: &Ast,
        name: &str,
        parts: &[Ast],
    ) -> (Id, Type) {
        let counts = match name {
            "present" | "lower" | "trim" | "int" | "len" => 1..=1,
            "split" | "nth" | "hash" => 2..=2,
            "concat" => 1..=16,
            other => {
                let reason = format!("there is no function '{other}'");
                mistakes.push(Mistake::new(&ast.span, reason, FUNCTIONS));
                return self.unknown();
            }
        };
        if !counts.contains(&parts.len()) {
            let reason = format!("{name} takes {} values, not {}", counts.end(), parts.len());
            mistakes.push(Mistake::new(&ast.span, reason, FUNCTIONS));
            return self.unknown();
        }
        let node = match name {
            "present" => {
                let (id, kind) = self.node(mistakes, &parts[0]);
                if kind.base != Base::Unknown && !kind.optional {
                    let reason = format!("this is a {} and never absent", kind.show());
                    mistakes.push(Mistake::new(
                        &parts[0].span,
                        reason,
                        "a header, a cookie or another value that may be absent",
                    ));
                }
                (Some(Node::Present(id)), Type::plain(Base::Bool))
            }
            "lower" => (
                self.plain(mistakes, &parts[0], Base::Str).map(Node::Lower),
                Type::plain(Base::Str),
            ),
            "trim" => (
                self.plain(mistakes, &parts[0], Base::Str).map(Node::Trim),
                Type::plain(Base::Str),
            ),
            "int" => (
                self.plain(mistakes, &parts[0], Base::Str).map(Node::IntOf),
                Type::optional(Base::Int),
            ),
            "len" => {
                let (id, kind) = self.node(mistakes, &parts[0]);
                let known =
                    [Base::Str, Base::Bytes, Base::List, Base::Unknown].contains(&kind.base);
                if !known {
                    let reason = format!("this is a {}", kind.show());
                    mistakes.push(Mistake::new(
                        &parts[0].span,
                        reason,
                        "a string, bytes or a list",
                    ));
                } else if kind.optional {
                    mistakes.push(absent(&parts[0], kind));
                }
                (Some(Node::Len(id)), Type::plain(Base::Int))
            }
            "split" => {
                let text = self.plain(mistakes, &parts[0], Base::Str);
                let separator = self.written(
                    mistakes,
                    &parts[1],
                    "a separator that is written out, like \",\"",
                );
                (
                    text.zip(separator).map(|(t, s)| Node::Split(t, s)),
                    Type::plain(Base::List),
                )
            }
            "nth" => {
                let list = self.plain(mistakes, &parts[0], Base::List);
                let place = self.number(
                    mistakes,
                    &parts[1],
                    0..=1_000,
                    "a place from 0 to 1000 that is written out",
                );
                (
                    list.zip(place).map(|(l, n)| Node::Nth(l, n)),
                    Type::optional(Base::Str),
                )
            }
            "hash" => {
                let text = self.plain(mistakes, &parts[0], Base::Str);
                let most = self.number(
                    mistakes,
                    &parts[1],
                    1..=1_000_000,
                    "a number from 1 to 1000000 that is written out",
                );
                (
                    text.zip(most).map(|(t, n)| Node::Hash(t, n)),
                    Type::plain(Base::Int),
                )
            }
            _ => {
                let mut ids = Vec::new();
                let mut optional = false;
                for part in parts {
                    let (id, kind) = self.node(mistakes, part);
                    if ![Base::Str, Base::Int, Base::Unknown].contains(&kind.base) {
                        let reason = format!("this is a {}", kind.show());
                        mistakes.push(Mistake::new(&part.span, reason, "a string or an int"));
                    }
                    optional |= kind.optional;
                    ids.push(id);
                }
                (
                    Some(Node::Concat(ids.into())),
                    Type {
                        base: Base::Str,
                        optional,
                    },
                )
            }
        };
        match node {
            (Some(node), kind) if mistakes.is_empty() => self.fold(node, kind),
            _ => self.unknown(),
        }
    }

    fn written(
        &mut self,
        mistakes: &mut Vec<Mistake>,
        ast: &Ast,
        allowed: &str,
    ) -> Option<Box<str>> {
        match &ast.kind {
            Kind::Str(text) if !text.is_empty() => Some(text.as_str().into()),
            _ => {
                mistakes.push(Mistake::new(&ast.span, "this must be written out", allowed));
                None
            }
        }
    }

    fn number(
        &mut self,
        mistakes: &mut Vec<Mistake>,
        ast: &Ast,
        range: std::ops::RangeInclusive<i64>,
        allowed: &str,
    ) -> Option<u32> {
        match &ast.kind {
            Kind::Int(number) if range.contains(number) => Some(*number as u32),
            _ => {
                mistakes.push(Mistake::new(&ast.span, "this is no such number", allowed));
                None
            }
        }
    }

    fn infix(
        &mut self,
        mistakes: &mut Vec<Mistake>,
        ast: &Ast,
        infix: Infix,
        a: &Ast,
        b: &Ast,
    ) -> (Id, Type) {
        let truth = Type::plain(Base::Bool);
        let node = match infix {
            Infix::In => return self.is_in(mistakes, a, b),
            Infix::Matches => {
                let text = self.plain(mistakes, a, Base::Str);
                let pattern = self.pattern(mistakes, b);
                text.zip(pattern).map(|(t, p)| Node::Matches(t, p))
            }
            Infix::StartsWith | Infix::EndsWith | Infix::Contains => {
                let (left, kind) = self.node(mistakes, a);
                if infix == Infix::Contains && kind == Type::plain(Base::List) {
                    let inner = self.plain(mistakes, b, Base::Str);
                    inner.map(|inner| Node::InList(inner, left))
                } else {
                    let (text, inner) = (
                        self.plain(mistakes, a, Base::Str),
                        self.plain(mistakes, b, Base::Str),
                    );
                    text.zip(inner).map(|(t, i)| match infix {
                        Infix::StartsWith => Node::StartsWith(t, i),
                        Infix::EndsWith => Node::EndsWith(t, i),
                        _ => Node::Contains(t, i),
                    })
                }
            }
            _ => return self.compare(mistakes, ast, infix, a, b),
        };
        match node {
            Some(node) => self.fold(node, truth),
            None => self.unknown(),
        }
    }

    fn compare(
        &mut self,
        mistakes: &mut Vec<Mistake>,
        ast: &Ast,
        infix: Infix,
        a: &Ast,
        b: &Ast,
    ) -> (Id, Type) {
        let truth = Type::plain(Base::Bool);
        let (left, kind) = self.node(mistakes, a);
        let (right, other) = self.node(mistakes, b);
        if kind.base == Base::Unknown || other.base == Base::Unknown {
            return self.unknown();
        }
        let before = mistakes.len();
        for (side, kind) in [(a, kind), (b, other)] {
            if kind.optional {
                mistakes.push(absent(side, kind));
            }
        }
        let ordered = !matches!(infix, Infix::Equal | Infix::Unequal);
        let sorted = [Base::Int, Base::Duration];
        if kind.base != other.base {
            let reason = format!("a {} is compared with a {}", kind.show(), other.show());
            mistakes.push(Mistake::new(
                &ast.span,
                reason,
                "two values of one type; int(...) reads a number",
            ));
        } else if ordered && !sorted.contains(&kind.base) {
            let reason = format!("{} has no order", kind.show());
            mistakes.push(Mistake::new(
                &ast.span,
                reason,
                "ints or durations; == and != for others",
            ));
        } else if kind.base == Base::List {
            mistakes.push(Mistake::new(
                &ast.span,
                "lists are not compared",
                "x in list, len(list), nth(list, 0)",
            ));
        }
        if mistakes.len() > before {
            return self.unknown();
        }
        match infix {
            Infix::Equal => {
                // One order for both ways to write it.
                let (left, right) = if left <= right {
                    (left, right)
                } else {
                    (right, left)
                };
                self.fold(Node::Equal(left, right), truth)
            }
            Infix::Unequal => {
                let (left, right) = if left <= right {
                    (left, right)
                } else {
                    (right, left)
                };
                let (equal, _) = self.fold(Node::Equal(left, right), truth);
                self.fold(Node::Not(equal), truth)
            }
            Infix::Less => self.fold(Node::Less(left, right), truth),
            Infix::LessEqual => self.fold(Node::LessEqual(left, right), truth),
            Infix::Greater => self.fold(Node::Less(right, left), truth),
            _ => self.fold(Node::LessEqual(right, left), truth),
        }
    }

    fn is_in(&mut self, mistakes: &mut Vec<Mistake>, a: &Ast, b: &Ast) -> (Id, Type) {
        let truth = Type::plain(Base::Bool);
        let (left, kind) = self.node(mistakes, a);
        if kind.base == Base::Unknown {
            return self.unknown();
        }
        if kind.optional {
            mistakes.push(absent(a, kind));
            return self.unknown();
        }
        let before = mistakes.len();
        // One address range may stand alone.
        let one = std::slice::from_ref(b);
        let list = match &b.kind {
            Kind::List(parts) => parts.as_slice(),
            Kind::Str(_) if kind.base == Base::Ip => one,
            _ => {
                let Some(list) = self.plain(mistakes, b, Base::List) else {
                    return self.unknown();
                };
                if kind.base != Base::Str {
                    let reason = format!("a {} is no text of a list", kind.show());
                    mistakes.push(Mistake::new(&a.span, reason, "string"));
                    return self.unknown();
                }
                return self.fold(Node::InList(left, list), truth);
            }
        };
        if list.is_empty() {
            mistakes.push(Mistake::new(
                &b.span,
                "nothing is in an empty list",
                "one value or more",
            ));
        }
        let mut wrong = |part: &Ast, allowed: &str| {
            mistakes.push(Mistake::new(
                &part.span,
                "this does not belong in the list",
                allowed,
            ));
        };
        let node = match kind.base {
            Base::Str => {
                let mut texts: Vec<Box<str>> = Vec::new();
                for part in list {
                    match &part.kind {
                        Kind::Str(text) => texts.push(text.as_str().into()),
                        _ => wrong(part, "texts that are written out"),
                    }
                }
                texts.sort();
                texts.dedup();
                Node::InTexts(left, texts.into())
            }
            Base::Int => {
                let mut numbers = Vec::new();
                for part in list {
                    match &part.kind {
                        Kind::Int(number) => numbers.push(*number),
                        _ => wrong(part, "numbers that are written out"),
                    }
                }
                numbers.sort_unstable();
                numbers.dedup();
                Node::InInts(left, numbers.into())
            }
            Base::Ip => {
                let mut nets = Vec::new();
                for part in list {
                    let net = match &part.kind {
                        Kind::Str(text) => text
                            .parse::<IpNet>()
                            .ok()
                            .or_else(|| text.parse::<std::net::IpAddr>().ok().map(IpNet::from)),
                        _ => None,
                    };
                    match net {
                        Some(net) => nets.push(net),
                        None => wrong(
                            part,
                            "an address or a range, like \"10.0.0.0/8\" or \"::1\"",
                        ),
                    }
                }
                Node::InNets(left, nets.into())
            }
            _ => {
                let reason = format!("a {} is in no list", kind.show());
                mistakes.push(Mistake::new(
                    &a.span,
                    reason,
                    "a string, an int or an address",
                ));
                return self.unknown();
            }
        };
        if mistakes.len() > before {
            return self.unknown();
        }
        self.fold(node, truth)
    }

    fn pattern(&mut self, mistakes: &mut Vec<Mistake>, ast: &Ast) -> Option<u32> {
        let Kind::Str(text) = &ast.kind else {
            mistakes.push(Mistake::new(
                &ast.span,
                "a pattern must be written out",
                "like \"^CR-[0-9]+$\"",
            ));
            return None;
        };
        if let Some(&known) = self.patterns.get(text) {
            return Some(known);
        }
        // Bytes, not letters of all scripts: classes stay small. A pattern is found anywhere, unless it says ^ and $.
        let regex = RegexBuilder::new(text)
            .size_limit(PATTERN_BYTES)
            .dfa_size_limit(PATTERN_BYTES * 4)
            .build();
        let regex = match regex {
            Ok(regex) => regex,
            Err(fault) => {
                let told = fault.to_string();
                let reason = match fault {
                    regex::Error::CompiledTooBig(_) => {
                        "this pattern takes too much room compiled".to_owned()
                    }
                    _ => format!(
                        "this is no pattern: {}",
                        told.lines().last().unwrap_or_default().trim()
                    ),
                };
                mistakes.push(Mistake::new(
                    &ast.span,
                    reason,
                    "a regular expression without look-around, 128 KiB compiled at the most",
                ));
                return None;
            }
        };
        self.pattern_bytes += text.len() * 64;
        if self.pattern_bytes > PATTERNS_BYTES {
            mistakes.push(Mistake::new(
                &ast.span,
                "all patterns together take too much room",
                "fewer or shorter patterns",
            ));
            return None;
        }
        let number = self.program.patterns.len() as u32;
        self.program.patterns.push(regex);
        self.patterns.insert(text.clone(), number);
        Some(number)
    }
}

impl Id {
    fn with(self, kind: Type) -> (Id, Type) {
        (self, kind)
    }
}

fn absent(ast: &Ast, kind: Type) -> Mistake {
    let default = match kind.base {
        Base::Int => "?? 0",
        Base::Duration => "?? 0ms",
        _ => "?? \"\"",
    };
    let allowed = format!("a default ({default}), or present(...)");
    Mistake::new(
        &ast.span,
        "this value may be absent, and nothing says what that means",
        allowed,
    )
}
