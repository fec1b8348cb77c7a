//! The compiled form of expressions: an arena of nodes with their costs.

use crate::bounds::*;
use crate::Id;
use http::header::HeaderName;
use ipnet::IpNet;
use regex::Regex;
use std::collections::HashMap;

/// The type of a value, regardless of whether it may be absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum BaseType {
    Bool,
    Int,
    Duration,
    Str,
    Bytes,
    Ip,
    List,
    /// The type of an expression with an error that has been reported.
    Unknown,
}

/// The type of an expression.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Type {
    pub(crate) base: BaseType,
    pub(crate) optional: bool,
}

impl Type {
    pub(crate) const fn required(base: BaseType) -> Self {
        Type {
            base,
            optional: false,
        }
    }

    pub(crate) const fn optional(base: BaseType) -> Self {
        Type {
            base,
            optional: true,
        }
    }

    pub(crate) fn display(self) -> String {
        let base = match self.base {
            BaseType::Bool => "bool",
            BaseType::Int => "int",
            BaseType::Duration => "duration",
            BaseType::Str => "string",
            BaseType::Bytes => "bytes",
            BaseType::Ip => "address",
            BaseType::List => "list of strings",
            BaseType::Unknown => "unknown",
        };
        if self.optional {
            format!("{base} that may be absent")
        } else {
            base.to_owned()
        }
    }
}

/// A node of a compiled expression. Its operands are ids of other nodes.
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
    ParseInt(Id),
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
    /// The strings are sorted.
    InStrings(Id, Box<[Box<str>]>),
    InInts(Id, Box<[i64]>),
    InList(Id, Id),
    InNetworks(Id, Box<[IpNet]>),
    StartsWith(Id, Id),
    EndsWith(Id, Id),
    Contains(Id, Id),
    Matches(Id, u32),
}

/// An upper bound on the size of a value: a fixed part and the values of some headers. All headers together are no larger
/// than the request head.
#[derive(Clone, Debug, Default)]
pub(crate) struct Size {
    fixed_bytes: u32,
    headers: Vec<HeaderName>,
}

/// An upper bound on the steps of a node: a fixed part, and for some headers the additional steps if that header fills the
/// whole request head.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cost {
    fixed_steps: u64,
    header_steps: Vec<(HeaderName, u64)>,
}

impl Cost {
    /// The cost of processing a value, where each step processes `bytes_per_step` bytes.
    fn for_bytes(fixed_steps: u64, size: &Size, bytes_per_step: u32) -> Self {
        let whole_head = u64::from(MAX_HEAD_BYTES / bytes_per_step);
        let header_steps = size
            .headers
            .iter()
            .map(|h| (h.clone(), whole_head))
            .collect();
        Cost {
            fixed_steps: fixed_steps + u64::from(size.fixed_bytes / bytes_per_step) + 1,
            header_steps,
        }
    }

    /// The maximum number of steps.
    pub(crate) fn max_steps(&self) -> u64 {
        self.fixed_steps + self.header_steps.iter().map(|h| h.1).max().unwrap_or(0)
    }
}

/// The compiled expressions of a file.
#[derive(Debug, Default)]
pub struct Program {
    pub(crate) nodes: Vec<Node>,
    pub(crate) types: Vec<Type>,
    /// Maximum number of steps of each node with all its descendants, which decides the order of operands.
    pub(crate) subtree_steps: Vec<u64>,
    /// The cost of each node without its descendants.
    pub(crate) node_costs: Vec<Cost>,
    /// Maximum size of each node's value.
    pub(crate) sizes: Vec<Size>,
    pub(crate) patterns: Vec<Regex>,
    /// Whether a node is used several times and is not a literal. The values of such nodes are memoized.
    pub(crate) shared: Vec<bool>,
    pub(crate) roots: Vec<Id>,
}

impl Node {
    /// The operands of the node.
    pub(crate) fn children(&self) -> Vec<Id> {
        match self {
            Node::Lower(a)
            | Node::Trim(a)
            | Node::ParseInt(a)
            | Node::Len(a)
            | Node::Present(a)
            | Node::Not(a) => vec![*a],
            Node::Split(a, _) | Node::Nth(a, _) | Node::Hash(a, _) | Node::Matches(a, _) => {
                vec![*a]
            }
            Node::InStrings(a, _) => vec![*a],
            Node::InInts(a, _) => vec![*a],
            Node::InNetworks(a, _) => vec![*a],
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
    /// Whether a node is a literal.
    pub(crate) fn is_literal(&self, id: Id) -> bool {
        matches!(
            self.nodes[id.0 as usize],
            Node::Bool(_) | Node::Int(_) | Node::Duration(_) | Node::Str(_) | Node::Bytes(_)
        )
    }

    /// The cost of a node without its descendants, and the maximum size of its value.
    pub(crate) fn cost_and_size(&self, node: &Node) -> (Cost, Size) {
        let size = |id: &Id| &self.sizes[id.0 as usize];
        let fixed_cost = |steps: u64| Cost {
            fixed_steps: steps,
            header_steps: Vec::new(),
        };
        let fixed_size = |bytes: u32| Size {
            fixed_bytes: bytes,
            headers: Vec::new(),
        };
        let scalar_size = || fixed_size(8);
        // A comparison ends with the shorter operand.
        let shorter_cost =
            |a: &Id, b: &Id| match (size(a).headers.is_empty(), size(b).headers.is_empty()) {
                (true, true) => Cost::for_bytes(
                    0,
                    &fixed_size(size(a).fixed_bytes.min(size(b).fixed_bytes)),
                    16,
                ),
                (true, false) => Cost::for_bytes(0, size(a), 16),
                _ => Cost::for_bytes(0, size(b), 16),
            };
        let parse_pairs_steps = (MAX_PAIRS_BYTES as u64 + 1) * STEPS_PER_PAIR_BYTE;
        // The cost of visiting up to `max_elements` elements of a list, and of parsing the query if it comes from one.
        let list_cost = |id: &Id, max_elements: usize| {
            let node = &self.nodes[id.0 as usize];
            let max_elements = if *node == Node::Segments {
                max_elements.min(MAX_PATH_SEGMENTS)
            } else {
                max_elements
            };
            let mut cost = Cost::for_bytes(
                max_elements as u64 * STEPS_PER_LIST_ELEMENT + 1,
                size(id),
                16,
            );
            cost.fixed_steps += if matches!(node, Node::QueryAll(_)) {
                parse_pairs_steps
            } else {
                0
            };
            cost
        };
        match node {
            Node::Bool(_) | Node::Int(_) | Node::Duration(_) => (fixed_cost(1), scalar_size()),
            Node::Str(text) => (fixed_cost(1), fixed_size(text.len() as u32)),
            Node::Bytes(all) => (fixed_cost(1), fixed_size(all.len() as u32)),
            Node::Method => (fixed_cost(1), fixed_size(MAX_METHOD_BYTES)),
            Node::Path | Node::Segments => (fixed_cost(1), fixed_size(MAX_PATH_BYTES)),
            Node::Client => (fixed_cost(1), fixed_size(16)),
            Node::Length | Node::Timeout => (fixed_cost(4), scalar_size()),
            // Includes the UTF-8 validation.
            Node::Header(name) | Node::HeaderBytes(name) => {
                let header_size = Size {
                    fixed_bytes: 0,
                    headers: vec![name.clone()],
                };
                (Cost::for_bytes(2, &header_size, 16), header_size)
            }
            Node::Headers(name) => (
                fixed_cost(1),
                Size {
                    fixed_bytes: 0,
                    headers: vec![name.clone()],
                },
            ),
            Node::Cookie(_) | Node::Query(_) => (
                fixed_cost(parse_pairs_steps),
                fixed_size(MAX_PAIRS_BYTES as u32),
            ),
            Node::QueryAll(_) => (fixed_cost(1), fixed_size(MAX_PAIRS_BYTES as u32)),
            Node::Lower(a) => (Cost::for_bytes(0, size(a), 8), size(a).clone()),
            Node::Trim(a) => (Cost::for_bytes(0, size(a), 16), size(a).clone()),
            Node::Split(..) => (fixed_cost(1), fixed_size(MAX_SPLIT_BYTES as u32)),
            Node::Nth(a, index) => (list_cost(a, *index as usize + 1), size(a).clone()),
            Node::Len(a) => match self.types[a.0 as usize].base {
                BaseType::List => (list_cost(a, MAX_LIST_ELEMENTS), scalar_size()),
                _ => (fixed_cost(1), scalar_size()),
            },
            Node::ParseInt(_) => (fixed_cost(4), scalar_size()),
            Node::Hash(..) => (fixed_cost(2 * MAX_SPLIT_BYTES as u64 + 2), scalar_size()),
            Node::Concat(all) => {
                let mut total_size = fixed_size(32 * all.len() as u32);
                for part in all {
                    total_size.fixed_bytes = total_size
                        .fixed_bytes
                        .saturating_add(size(part).fixed_bytes);
                    total_size.headers.extend(
                        size(part)
                            .headers
                            .iter()
                            .filter(|h| !total_size.headers.contains(h))
                            .cloned()
                            .collect::<Vec<_>>(),
                    );
                }
                // The same header may be concatenated several times.
                let mut cost = Cost::for_bytes(all.len() as u64, &total_size, 16);
                cost.header_steps
                    .iter_mut()
                    .for_each(|h| h.1 *= all.len() as u64);
                (cost, total_size)
            }
            Node::Present(_) | Node::Not(_) | Node::And(..) | Node::Or(..) => {
                (fixed_cost(1), fixed_size(1))
            }
            Node::Default(a, b) => {
                let mut default_size = size(a).clone();
                default_size.fixed_bytes = default_size.fixed_bytes.max(size(b).fixed_bytes);
                default_size.headers.extend(size(b).headers.iter().cloned());
                (fixed_cost(1), default_size)
            }
            Node::Equal(a, b) | Node::StartsWith(a, b) | Node::EndsWith(a, b) => {
                (shorter_cost(a, b), fixed_size(1))
            }
            Node::Less(..) | Node::LessEqual(..) => (fixed_cost(1), fixed_size(1)),
            Node::InStrings(_, all) => {
                let longest = all.iter().map(|t| t.len() as u32).max().unwrap_or(0);
                (
                    fixed_cost(u64::from(all.len().max(1).ilog2() + 1) * word_steps(longest)),
                    fixed_size(1),
                )
            }
            Node::InInts(_, all) => (
                fixed_cost(u64::from(all.len().max(1).ilog2() + 1)),
                fixed_size(1),
            ),
            Node::InList(_, b) => (list_cost(b, MAX_LIST_ELEMENTS), fixed_size(1)),
            Node::InNetworks(_, all) => (fixed_cost(all.len() as u64), fixed_size(1)),
            Node::Contains(a, b) => {
                let mut cost = Cost::for_bytes(1, size(a), 8);
                let other = Cost::for_bytes(0, size(b), 16);
                cost.fixed_steps += other.fixed_steps;
                cost.header_steps.extend(other.header_steps);
                (cost, fixed_size(1))
            }
            Node::Matches(..) => (
                fixed_cost((MAX_MATCH_BYTES as u64 + 1) * STEPS_PER_MATCH_BYTE),
                fixed_size(1),
            ),
        }
    }

    /// The maximum number of steps that these expressions take together for one request. Each shared node counts once, and
    /// all headers together are assumed to be no larger than the request head.
    pub fn cost(&self, ids: &[Id]) -> u64 {
        let mut seen = vec![false; self.nodes.len()];
        let mut pending = ids.to_vec();
        let mut fixed_steps = 0_u64;
        let mut header_steps: HashMap<&HeaderName, u64> = HashMap::new();
        while let Some(id) = pending.pop() {
            if !std::mem::replace(&mut seen[id.0 as usize], true) {
                let node_cost = &self.node_costs[id.0 as usize];
                fixed_steps = fixed_steps.saturating_add(node_cost.fixed_steps);
                for (name, steps) in &node_cost.header_steps {
                    *header_steps.entry(name).or_default() += steps;
                }
                pending.extend(self.nodes[id.0 as usize].children());
            }
        }
        fixed_steps.saturating_add(header_steps.values().copied().max().unwrap_or(0))
    }

    /// The number of nodes.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }
}
