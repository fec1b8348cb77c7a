//! The compiled form: an arena of nodes, and what each may cost.

use crate::bounds::*;
use crate::Id;
use http::header::HeaderName;
use ipnet::IpNet;
use regex::Regex;
use std::collections::HashMap;

/// What kinds of values there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Base {
    Bool,
    Int,
    Duration,
    Str,
    Bytes,
    Ip,
    List,
    /// What is wrong already.
    Unknown,
}

/// A kind of value that may be absent or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Type {
    pub(crate) base: Base,
    pub(crate) optional: bool,
}

impl Type {
    pub(crate) const fn plain(base: Base) -> Self {
        Type {
            base,
            optional: false,
        }
    }

    pub(crate) const fn optional(base: Base) -> Self {
        Type {
            base,
            optional: true,
        }
    }

    pub(crate) fn show(self) -> String {
        let base = match self.base {
            Base::Bool => "bool",
            Base::Int => "int",
            Base::Duration => "duration",
            Base::Str => "string",
            Base::Bytes => "bytes",
            Base::Ip => "address",
            Base::List => "list of strings",
            Base::Unknown => "unknown",
        };
        if self.optional {
            format!("{base} that may be absent")
        } else {
            base.to_owned()
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Node {
    Bool(bool),
    Int(i64),
    Duration(i64),
    Str(Box<str>),
    Bytes(Box<[u8]>),
    Method,
    Path,
    Segments,
    Length,
    Timeout,
    Client,
    Header(HeaderName),
    HeaderBytes(HeaderName),
    Headers(HeaderName),
    Cookie(Box<str>),
    Query(Box<str>),
    QueryAll(Box<str>),
    Lower(Id),
    Trim(Id),
    Split(Id, Box<str>),
    Nth(Id, u32),
    IntOf(Id),
    Len(Id),
    Hash(Id, u32),
    Concat(Box<[Id]>),
    Present(Id),
    Default(Id, Id),
    Not(Id),
    And(Id, Id),
    Or(Id, Id),
    Equal(Id, Id),
    Less(Id, Id),
    LessEqual(Id, Id),
    /// Sorted texts.
    InTexts(Id, Box<[Box<str>]>),
    InInts(Id, Box<[i64]>),
    InList(Id, Id),
    InNets(Id, Box<[IpNet]>),
    StartsWith(Id, Id),
    EndsWith(Id, Id),
    Contains(Id, Id),
    Matches(Id, u32),
}

/// How large a value may be: so many bytes, and those of some headers. All headers together are no larger than the head.
#[derive(Clone, Debug, Default)]
pub(crate) struct Size {
    fixed: u32,
    headers: Vec<HeaderName>,
}

/// Most steps: so many, and so many more if the whole head is this one header.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cost {
    fixed: u64,
    headers: Vec<(HeaderName, u64)>,
}

impl Cost {
    /// What looking at a value costs, where each step looks at so many bytes.
    fn of(fixed: u64, size: &Size, bytes_a_step: u32) -> Self {
        let all = u64::from(HEAD_BYTES / bytes_a_step);
        let headers = size.headers.iter().map(|h| (h.clone(), all)).collect();
        Cost {
            fixed: fixed + u64::from(size.fixed / bytes_a_step) + 1,
            headers,
        }
    }

    pub(crate) fn most(&self) -> u64 {
        self.fixed + self.headers.iter().map(|h| h.1).max().unwrap_or(0)
    }
}

/// Compiled expressions.
#[derive(Debug, Default)]
pub struct Program {
    pub(crate) nodes: Vec<Node>,
    pub(crate) types: Vec<Type>,
    /// Most steps of each node with all below it, to order by; and of it alone.
    pub(crate) costs: Vec<u64>,
    pub(crate) own: Vec<Cost>,
    /// Where the bytes of each node's value come from.
    pub(crate) sizes: Vec<Size>,
    pub(crate) patterns: Vec<Regex>,
    /// Nodes that stand in more than one place and cost something.
    pub(crate) shared: Vec<bool>,
    pub(crate) roots: Vec<Id>,
}

impl Node {
    /// The nodes that it is made of.
    pub(crate) fn parts(&self) -> Vec<Id> {
        match self {
            Node::Lower(a)
            | Node::Trim(a)
            | Node::IntOf(a)
            | Node::Len(a)
            | Node::Present(a)
            | Node::Not(a) => vec![*a],
            Node::Split(a, _) | Node::Nth(a, _) | Node::Hash(a, _) | Node::Matches(a, _) => {
                vec![*a]
            }
            Node::InTexts(a, _) => vec![*a],
            Node::InInts(a, _) => vec![*a],
            Node::InNets(a, _) => vec![*a],
            Node::Concat(all) => all.to_vec(),
            Node::Default(a, b)
            | Node::And(a, b)
            | Node::Or(a, b)
            | Node::Equal(a, b)
            | Node::Less(a, b)
            | Node::LessEqual(a, b)
            | Node::InList(a, b)
            | Node::StartsWith(a, b)
            | Node::EndsWith(a, b)
            | Node::Contains(a, b) => vec![*a, *b],
            _ => Vec::new(),
        }
    }
}

impl Program {
    pub(crate) fn literal(&self, id: Id) -> bool {
        matches!(
            self.nodes[id.0 as usize],
            Node::Bool(_) | Node::Int(_) | Node::Duration(_) | Node::Str(_) | Node::Bytes(_)
        )
    }

    /// Most steps of a node by itself, and the size of its value.
    pub(crate) fn measure(&self, node: &Node) -> (Cost, Size) {
        let size = |id: &Id| &self.sizes[id.0 as usize];
        let fixed = |steps: u64| Cost {
            fixed: steps,
            headers: Vec::new(),
        };
        let plain = |bytes: u32| Size {
            fixed: bytes,
            headers: Vec::new(),
        };
        let small = || plain(8);
        // Of two that are compared the shorter counts.
        let shorter =
            |a: &Id, b: &Id| match (size(a).headers.is_empty(), size(b).headers.is_empty()) {
                (true, true) => Cost::of(0, &plain(size(a).fixed.min(size(b).fixed)), 16),
                (true, false) => Cost::of(0, size(a), 16),
                _ => Cost::of(0, size(b), 16),
            };
        let pairs = (PAIRS_BYTES as u64 + 1) * PAIR_STEPS;
        // What looking at so many parts of a list costs, and reading it out of a query before.
        let list = |id: &Id, most: usize| {
            let node = &self.nodes[id.0 as usize];
            let most = if *node == Node::Segments {
                most.min(SEGMENTS_MOST)
            } else {
                most
            };
            let mut cost = Cost::of(most as u64 * PART_STEPS + 1, size(id), 16);
            cost.fixed += if matches!(node, Node::QueryAll(_)) {
                pairs
            } else {
                0
            };
            cost
        };
        match node {
            Node::Bool(_) | Node::Int(_) | Node::Duration(_) => (fixed(1), small()),
            Node::Str(text) => (fixed(1), plain(text.len() as u32)),
            Node::Bytes(all) => (fixed(1), plain(all.len() as u32)),
            Node::Method => (fixed(1), plain(METHOD_BYTES)),
            Node::Path | Node::Segments => (fixed(1), plain(PATH_BYTES)),
            Node::Client => (fixed(1), plain(16)),
            Node::Length | Node::Timeout => (fixed(4), small()),
            // Whether its bytes are a text is looked at, too.
            Node::Header(name) | Node::HeaderBytes(name) => {
                let own = Size {
                    fixed: 0,
                    headers: vec![name.clone()],
                };
                (Cost::of(2, &own, 16), own)
            }
            Node::Headers(name) => (
                fixed(1),
                Size {
                    fixed: 0,
                    headers: vec![name.clone()],
                },
            ),
            Node::Cookie(_) | Node::Query(_) => (fixed(pairs), plain(PAIRS_BYTES as u32)),
            Node::QueryAll(_) => (fixed(1), plain(PAIRS_BYTES as u32)),
            Node::Lower(a) => (Cost::of(0, size(a), 8), size(a).clone()),
            Node::Trim(a) => (Cost::of(0, size(a), 16), size(a).clone()),
            Node::Split(..) => (fixed(1), plain(PARTS_BYTES as u32)),
            Node::Nth(a, place) => (list(a, *place as usize + 1), size(a).clone()),
            Node::Len(a) => match self.types[a.0 as usize].base {
                Base::List => (list(a, PARTS_MOST), small()),
                _ => (fixed(1), small()),
            },
            Node::IntOf(_) => (fixed(4), small()),
            Node::Hash(..) => (fixed(2 * PARTS_BYTES as u64 + 2), small()),
            Node::Concat(all) => {
                let mut sum = plain(32 * all.len() as u32);
                for part in all {
                    sum.fixed = sum.fixed.saturating_add(size(part).fixed);
                    sum.headers.extend(
                        size(part)
                            .headers
                            .iter()
                            .filter(|h| !sum.headers.contains(h))
                            .cloned()
                            .collect::<Vec<_>>(),
                    );
                }
                // The same header may stand in it several times.
                let mut cost = Cost::of(all.len() as u64, &sum, 16);
                cost.headers
                    .iter_mut()
                    .for_each(|h| h.1 *= all.len() as u64);
                (cost, sum)
            }
            Node::Present(_) | Node::Not(_) | Node::And(..) | Node::Or(..) => (fixed(1), plain(1)),
            Node::Default(a, b) => {
                let mut either = size(a).clone();
                either.fixed = either.fixed.max(size(b).fixed);
                either.headers.extend(size(b).headers.iter().cloned());
                (fixed(1), either)
            }
            Node::Equal(a, b) | Node::StartsWith(a, b) | Node::EndsWith(a, b) => {
                (shorter(a, b), plain(1))
            }
            Node::Less(..) | Node::LessEqual(..) => (fixed(1), plain(1)),
            Node::InTexts(_, all) => {
                let longest = all.iter().map(|t| t.len() as u32).max().unwrap_or(0);
                (
                    fixed(u64::from(all.len().max(1).ilog2() + 1) * words(longest)),
                    plain(1),
                )
            }
            Node::InInts(_, all) => (fixed(u64::from(all.len().max(1).ilog2() + 1)), plain(1)),
            Node::InList(_, b) => (list(b, PARTS_MOST), plain(1)),
            Node::InNets(_, all) => (fixed(all.len() as u64), plain(1)),
            Node::Contains(a, b) => {
                let mut cost = Cost::of(1, size(a), 8);
                let other = Cost::of(0, size(b), 16);
                cost.fixed += other.fixed;
                cost.headers.extend(other.headers);
                (cost, plain(1))
            }
            Node::Matches(..) => (fixed((MATCH_BYTES as u64 + 1) * MATCH_STEPS), plain(1)),
        }
    }

    /// The most steps that these expressions can take together for one request: each part once, and all headers together
    /// no larger than the head.
    pub fn cost(&self, of: &[Id]) -> u64 {
        let mut seen = vec![false; self.nodes.len()];
        let mut open = of.to_vec();
        let mut fixed = 0_u64;
        let mut headers: HashMap<&HeaderName, u64> = HashMap::new();
        while let Some(id) = open.pop() {
            if !std::mem::replace(&mut seen[id.0 as usize], true) {
                let own = &self.own[id.0 as usize];
                fixed = fixed.saturating_add(own.fixed);
                for (name, steps) in &own.headers {
                    *headers.entry(name).or_default() += steps;
                }
                open.extend(self.nodes[id.0 as usize].parts());
            }
        }
        fixed.saturating_add(headers.values().copied().max().unwrap_or(0))
    }

    /// How many nodes there are.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }
}
