//! Compiles syntax trees to a program: type checking, constant folding, interning and the static bound on cost.
//!
//! All expressions of a file share one arena. Equal subexpressions are one node, so that a subexpression that several routes
//! use is evaluated at most once per request.

use crate::ast::{Ast, AstKind, ExpressionError, Operator};
use crate::eval::{Memo, Unmetered};
use crate::program::{BaseType, Node, Program, Type};
use crate::value::{Head, Value};
use crate::{parse, Id};
use http::header::HeaderName;
use ipnet::IpNet;
use regex::RegexBuilder;
use std::collections::HashMap;

/// Largest compiled size of one pattern.
const MAX_PATTERN_BYTES: usize = 128 * 1024;
/// Largest estimated size of all patterns of a program.
const MAX_ALL_PATTERNS_BYTES: usize = 4 * 1024 * 1024;

/// The type that an expression has to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedType {
    /// A bool, for the match condition of a route.
    Condition,
    /// A string that may be absent, for a key or a tenant.
    Text,
    /// Any type, for a subexpression that is explained.
    Any,
}

/// Compiles the expressions of a file.
#[derive(Debug, Default)]
pub struct Builder {
    program: Program,
    interned: HashMap<Node, Id>,
    patterns: HashMap<String, u32>,
    pattern_bytes: usize,
}

/// Names of the inputs, for the error on an unknown name.
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
/// The functions with example arguments, for errors on calls.
const FUNCTIONS: &str =
    "present(x), lower(s), trim(s), split(s, \",\"), nth(list, 0), int(s), len(x), hash(s, 100), concat(a, b, ...)";

impl Builder {
    /// Parses and compiles an expression.
    ///
    /// # Errors
    /// Returns all syntax or type errors with their spans.
    pub fn add(
        &mut self,
        text: &str,
        expected_type: ExpectedType,
    ) -> Result<Id, Vec<ExpressionError>> {
        self.add_ast(&parse(text)?, expected_type)
    }

    /// Compiles a parsed expression or a subexpression.
    ///
    /// # Errors
    /// Returns all type errors with their spans.
    pub fn add_ast(
        &mut self,
        ast: &Ast,
        expected_type: ExpectedType,
    ) -> Result<Id, Vec<ExpressionError>> {
        let mut errors = Vec::new();
        let (id, value_type) = self.compile(&mut errors, ast);
        let has_expected_type = match expected_type {
            ExpectedType::Condition => value_type == Type::required(BaseType::Bool),
            ExpectedType::Text => value_type.base == BaseType::Str,
            ExpectedType::Any => true,
        };
        if errors.is_empty() && !has_expected_type {
            let allowed = match expected_type {
                ExpectedType::Condition => "a bool, like method == \"POST\"",
                _ => "a string, like header[\"x-invoice\"] or concat(...)",
            };
            errors.push(ExpressionError::new(
                &ast.span,
                format!("this is a {}", value_type.display()),
                allowed,
            ));
        }
        if errors.is_empty()
            && expected_type == ExpectedType::Condition
            && self.program.nodes[id.0 as usize] == Node::Bool(false)
        {
            errors.push(ExpressionError::new(
                &ast.span,
                "this condition is never true",
                "a condition that some request can satisfy",
            ));
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        if expected_type != ExpectedType::Any {
            self.program.roots.push(id);
        }
        Ok(id)
    }

    /// The maximum number of steps that these expressions take together for one request.
    pub fn cost(&self, ids: &[Id]) -> u64 {
        self.program.cost(ids)
    }

    /// Finishes the program.
    pub fn build(mut self) -> Program {
        let mut uses = vec![0_u32; self.program.nodes.len()];
        for root in &self.program.roots {
            uses[root.0 as usize] += 1;
        }
        for node in &self.program.nodes {
            node.children()
                .iter()
                .for_each(|child| uses[child.0 as usize] += 1);
        }
        // The cost bound counts a node once, so a node with several uses has to be evaluated once.
        let is_literal = |n: usize| self.program.is_literal(Id(n as u32));
        self.program.shared = uses
            .iter()
            .enumerate()
            .map(|(n, &uses)| uses > 1 && !is_literal(n))
            .collect();
        self.program
    }

    /// Adds a node to the arena, or finds the equal one.
    fn intern(&mut self, node: Node, value_type: Type) -> (Id, Type) {
        if let Some(&id) = self.interned.get(&node) {
            return (id, self.program.types[id.0 as usize]);
        }
        let program = &mut self.program;
        let id = Id(program.nodes.len() as u32);
        let (cost, size) = program.cost_and_size(&node);
        let children_steps: u64 = node
            .children()
            .iter()
            .map(|c| program.subtree_steps[c.0 as usize])
            .sum();
        program
            .subtree_steps
            .push(cost.max_steps().saturating_add(children_steps));
        program.node_costs.push(cost);
        program.sizes.push(size);
        program.types.push(value_type);
        program.nodes.push(node.clone());
        self.interned.insert(node, id);
        (id, value_type)
    }

    /// Interns a node after constant folding: a node whose operands are all literals is evaluated now.
    fn fold(&mut self, node: Node, value_type: Type) -> (Id, Type) {
        let is_literal = |id: &Id| self.program.is_literal(*id);
        let children = node.children();
        let simplified = match &node {
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
        match simplified {
            Some(Ok(id)) => return (id, self.program.types[id.0 as usize]),
            Some(Err(value)) => return self.intern(Node::Bool(value), value_type),
            None => {}
        }
        // An optional value is not folded, because it would lose its type.
        if value_type.optional || children.is_empty() || !children.iter().all(is_literal) {
            return self.intern(node, value_type);
        }
        let (id, _) = self.intern(node, value_type);
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
            Value::Bool(value) => Some(Node::Bool(value)),
            Value::Int(number) => Some(Node::Int(number)),
            Value::Str(text) => Some(Node::Str(text.into())),
            _ => None,
        };
        match folded {
            Some(node) => self.intern(node, value_type),
            None => (id, value_type),
        }
    }

    /// Compiles a syntax tree node and returns its type.
    fn compile(&mut self, errors: &mut Vec<ExpressionError>, ast: &Ast) -> (Id, Type) {
        let span = &ast.span;
        match &ast.kind {
            AstKind::Bool(value) => self.intern(Node::Bool(*value), Type::required(BaseType::Bool)),
            AstKind::Int(number) => self.intern(Node::Int(*number), Type::required(BaseType::Int)),
            AstKind::Duration(micros) => {
                self.intern(Node::Duration(*micros), Type::required(BaseType::Duration))
            }
            AstKind::Str(text) => self.intern(
                Node::Str(text.as_str().into()),
                Type::required(BaseType::Str),
            ),
            AstKind::Bytes(bytes) => self.intern(
                Node::Bytes(bytes.as_slice().into()),
                Type::required(BaseType::Bytes),
            ),
            AstKind::List(_) => {
                errors.push(ExpressionError::new(
                    span,
                    "a list is only allowed after 'in'",
                    "x in [\"a\", \"b\"]",
                ));
                self.unknown()
            }
            AstKind::Name(name) => self.compile_input(errors, ast, name),
            AstKind::Index(name, index) => self.compile_index(errors, ast, name, index),
            AstKind::Call(name, arguments) => self.compile_call(errors, ast, name, arguments),
            AstKind::Not(inner) => {
                let inner = self.compile_bool(errors, inner);
                match self.program.nodes[inner.0 as usize] {
                    Node::Not(operand) => (operand, Type::required(BaseType::Bool)),
                    _ => self.fold(Node::Not(inner), Type::required(BaseType::Bool)),
                }
            }
            AstKind::And(a, b) => {
                let (a, b) = (self.compile_bool(errors, a), self.compile_bool(errors, b));
                // Evaluation can't fail and has no side effects, so the cheaper operand is evaluated first.
                let (a, b) = if self.program.subtree_steps[b.0 as usize]
                    < self.program.subtree_steps[a.0 as usize]
                {
                    (b, a)
                } else {
                    (a, b)
                };
                self.fold(Node::And(a, b), Type::required(BaseType::Bool))
            }
            AstKind::Or(a, b) => {
                let (a, b) = (self.compile_bool(errors, a), self.compile_bool(errors, b));
                let (a, b) = if self.program.subtree_steps[b.0 as usize]
                    < self.program.subtree_steps[a.0 as usize]
                {
                    (b, a)
                } else {
                    (a, b)
                };
                self.fold(Node::Or(a, b), Type::required(BaseType::Bool))
            }
            AstKind::Binary(operator, a, b) => self.compile_binary(errors, ast, *operator, a, b),
            AstKind::Default(a, b) => {
                let (left, value_type) = self.compile(errors, a);
                let (right, other) = self.compile(errors, b);
                if value_type.base == BaseType::Unknown || other.base == BaseType::Unknown {
                    return self.unknown();
                }
                if !value_type.optional {
                    let reason = format!(
                        "this is a {}, which is never absent: '??' has no effect",
                        value_type.display()
                    );
                    errors.push(ExpressionError::new(
                        &a.span,
                        reason,
                        "a header, a cookie or another value that may be absent",
                    ));
                    return self.unknown();
                }
                if value_type.base != other.base {
                    let reason = format!(
                        "the default is a {}, not a {}",
                        other.display(),
                        Type::required(value_type.base).display()
                    );
                    errors.push(ExpressionError::new(
                        &b.span,
                        reason,
                        Type::required(value_type.base).display(),
                    ));
                    return self.unknown();
                }
                self.fold(Node::Default(left, right), other)
            }
            AstKind::Unknown => self.unknown(),
        }
    }

    fn unknown(&mut self) -> (Id, Type) {
        self.intern(Node::Bool(false), Type::required(BaseType::Bool))
            .0
            .with_type(Type::required(BaseType::Unknown))
    }

    /// Compiles an operand that has to be a bool.
    fn compile_bool(&mut self, errors: &mut Vec<ExpressionError>, ast: &Ast) -> Id {
        let (id, value_type) = self.compile(errors, ast);
        if value_type != Type::required(BaseType::Bool) && value_type.base != BaseType::Unknown {
            let allowed = match value_type.base {
                BaseType::Str if value_type.optional => {
                    "a bool: present(...), or a comparison with a default: (... ?? \"\") == \"x\""
                }
                _ => "a bool: a comparison, present(...)",
            };
            errors.push(ExpressionError::new(
                &ast.span,
                format!("this is a {}, not a bool", value_type.display()),
                allowed,
            ));
        }
        id
    }

    /// Compiles an operand that has to be of type `base` and not optional.
    fn compile_required(
        &mut self,
        errors: &mut Vec<ExpressionError>,
        ast: &Ast,
        base: BaseType,
    ) -> Option<Id> {
        let (id, value_type) = self.compile(errors, ast);
        if value_type.base == BaseType::Unknown {
            return None;
        }
        if value_type.base != base {
            let (reason, allowed) = (
                format!("this is a {}", value_type.display()),
                Type::required(base).display(),
            );
            errors.push(ExpressionError::new(&ast.span, reason, allowed));
            return None;
        }
        if value_type.optional {
            errors.push(absent_error(ast, value_type));
            return None;
        }
        Some(id)
    }

    fn compile_input(
        &mut self,
        errors: &mut Vec<ExpressionError>,
        ast: &Ast,
        name: &str,
    ) -> (Id, Type) {
        let (node, value_type) = match name {
            "method" => (Node::Method, Type::required(BaseType::Str)),
            "path" => (Node::Path, Type::required(BaseType::Str)),
            "segments" => (Node::Segments, Type::required(BaseType::List)),
            "length" => (Node::Length, Type::optional(BaseType::Int)),
            "timeout" => (Node::Timeout, Type::optional(BaseType::Duration)),
            "client" => (Node::Client, Type::required(BaseType::Ip)),
            "header" | "headers" | "header_bytes" | "cookie" | "query" | "query_all" => {
                let reason = format!("'{name}' requires a name");
                errors.push(ExpressionError::new(
                    &ast.span,
                    reason,
                    format!("{name}[\"name\"]"),
                ));
                return self.unknown();
            }
            other => {
                errors.push(ExpressionError::new(
                    &ast.span,
                    format!("'{other}' is not known"),
                    INPUTS.join(", "),
                ));
                return self.unknown();
            }
        };
        self.intern(node, value_type)
    }

    fn compile_index(
        &mut self,
        errors: &mut Vec<ExpressionError>,
        ast: &Ast,
        name: &str,
        index: &Ast,
    ) -> (Id, Type) {
        let AstKind::Str(key) = &index.kind else {
            errors.push(ExpressionError::new(
                &index.span,
                "a name must be a literal string",
                "like \"x-branch\"",
            ));
            return self.unknown();
        };
        let mut header = || match HeaderName::from_bytes(key.as_bytes()) {
            Ok(name) => Some(name),
            Err(_) => {
                errors.push(ExpressionError::new(
                    &index.span,
                    "this is not a header name",
                    "letters, digits and '-'",
                ));
                None
            }
        };
        let text: Box<str> = key.as_str().into();
        let found = match name {
            "header" => header().map(|n| (Node::Header(n), Type::optional(BaseType::Str))),
            "header_bytes" => {
                header().map(|n| (Node::HeaderBytes(n), Type::optional(BaseType::Bytes)))
            }
            "headers" => header().map(|n| (Node::Headers(n), Type::required(BaseType::List))),
            "cookie" => Some((Node::Cookie(text), Type::optional(BaseType::Str))),
            "query" => Some((Node::Query(text), Type::optional(BaseType::Str))),
            "query_all" => Some((Node::QueryAll(text), Type::required(BaseType::List))),
            other => {
                let reason = format!("'{other}' has no named values");
                let allowed =
                    "header, headers, header_bytes, cookie, query, query_all; nth(segments, 0)";
                errors.push(ExpressionError::new(&ast.span, reason, allowed));
                None
            }
        };
        match found {
            Some((node, value_type)) => self.intern(node, value_type),
            None => self.unknown(),
        }
    }

    fn compile_call(
        &mut self,
        errors: &mut Vec<ExpressionError>,
        ast: &Ast,
        name: &str,
        arguments: &[Ast],
    ) -> (Id, Type) {
        let argument_counts = match name {
            "present" | "lower" | "trim" | "int" | "len" => 1..=1,
            "split" | "nth" | "hash" => 2..=2,
            "concat" => 1..=16,
            other => {
                let reason = format!("there is no function '{other}'");
                errors.push(ExpressionError::new(&ast.span, reason, FUNCTIONS));
                return self.unknown();
            }
        };
        if !argument_counts.contains(&arguments.len()) {
            let reason = format!(
                "{name} takes {} arguments, not {}",
                argument_counts.end(),
                arguments.len()
            );
            errors.push(ExpressionError::new(&ast.span, reason, FUNCTIONS));
            return self.unknown();
        }
        let node = match name {
            "present" => {
                let (id, value_type) = self.compile(errors, &arguments[0]);
                if value_type.base != BaseType::Unknown && !value_type.optional {
                    let reason =
                        format!("this is a {}, which is never absent", value_type.display());
                    errors.push(ExpressionError::new(
                        &arguments[0].span,
                        reason,
                        "a header, a cookie or another value that may be absent",
                    ));
                }
                (Some(Node::Present(id)), Type::required(BaseType::Bool))
            }
            "lower" => (
                self.compile_required(errors, &arguments[0], BaseType::Str)
                    .map(Node::Lower),
                Type::required(BaseType::Str),
            ),
            "trim" => (
                self.compile_required(errors, &arguments[0], BaseType::Str)
                    .map(Node::Trim),
                Type::required(BaseType::Str),
            ),
            "int" => (
                self.compile_required(errors, &arguments[0], BaseType::Str)
                    .map(Node::ParseInt),
                Type::optional(BaseType::Int),
            ),
            "len" => {
                let (id, value_type) = self.compile(errors, &arguments[0]);
                let has_length = [
                    BaseType::Str,
                    BaseType::Bytes,
                    BaseType::List,
                    BaseType::Unknown,
                ]
                .contains(&value_type.base);
                if !has_length {
                    let reason = format!("this is a {}", value_type.display());
                    errors.push(ExpressionError::new(
                        &arguments[0].span,
                        reason,
                        "a string, bytes or a list",
                    ));
                } else if value_type.optional {
                    errors.push(absent_error(&arguments[0], value_type));
                }
                (Some(Node::Len(id)), Type::required(BaseType::Int))
            }
            "split" => {
                let text = self.compile_required(errors, &arguments[0], BaseType::Str);
                let separator =
                    self.string_literal(errors, &arguments[1], "a literal separator, like \",\"");
                (
                    text.zip(separator).map(|(t, s)| Node::Split(t, s)),
                    Type::required(BaseType::List),
                )
            }
            "nth" => {
                let list = self.compile_required(errors, &arguments[0], BaseType::List);
                let index = self.int_literal(
                    errors,
                    &arguments[1],
                    0..=1_000,
                    "a literal index from 0 to 1000",
                );
                (
                    list.zip(index).map(|(l, n)| Node::Nth(l, n)),
                    Type::optional(BaseType::Str),
                )
            }
            "hash" => {
                let text = self.compile_required(errors, &arguments[0], BaseType::Str);
                let modulus = self.int_literal(
                    errors,
                    &arguments[1],
                    1..=1_000_000,
                    "a literal number from 1 to 1000000",
                );
                (
                    text.zip(modulus).map(|(t, n)| Node::Hash(t, n)),
                    Type::required(BaseType::Int),
                )
            }
            _ => {
                let mut ids = Vec::new();
                let mut optional = false;
                for argument in arguments {
                    let (id, value_type) = self.compile(errors, argument);
                    if ![BaseType::Str, BaseType::Int, BaseType::Unknown].contains(&value_type.base)
                    {
                        let reason = format!("this is a {}", value_type.display());
                        errors.push(ExpressionError::new(
                            &argument.span,
                            reason,
                            "a string or an int",
                        ));
                    }
                    optional |= value_type.optional;
                    ids.push(id);
                }
                (
                    Some(Node::Concat(ids.into())),
                    Type {
                        base: BaseType::Str,
                        optional,
                    },
                )
            }
        };
        match node {
            (Some(node), value_type) if errors.is_empty() => self.fold(node, value_type),
            _ => self.unknown(),
        }
    }

    fn string_literal(
        &mut self,
        errors: &mut Vec<ExpressionError>,
        ast: &Ast,
        allowed: &str,
    ) -> Option<Box<str>> {
        match &ast.kind {
            AstKind::Str(text) if !text.is_empty() => Some(text.as_str().into()),
            _ => {
                errors.push(ExpressionError::new(
                    &ast.span,
                    "this must be a literal",
                    allowed,
                ));
                None
            }
        }
    }

    fn int_literal(
        &mut self,
        errors: &mut Vec<ExpressionError>,
        ast: &Ast,
        range: std::ops::RangeInclusive<i64>,
        allowed: &str,
    ) -> Option<u32> {
        match &ast.kind {
            AstKind::Int(number) if range.contains(number) => Some(*number as u32),
            _ => {
                errors.push(ExpressionError::new(
                    &ast.span,
                    "this is not an allowed number",
                    allowed,
                ));
                None
            }
        }
    }

    fn compile_binary(
        &mut self,
        errors: &mut Vec<ExpressionError>,
        ast: &Ast,
        operator: Operator,
        a: &Ast,
        b: &Ast,
    ) -> (Id, Type) {
        let bool_type = Type::required(BaseType::Bool);
        let node = match operator {
            Operator::In => return self.compile_in(errors, a, b),
            Operator::Matches => {
                let text = self.compile_required(errors, a, BaseType::Str);
                let pattern = self.compile_pattern(errors, b);
                text.zip(pattern).map(|(t, p)| Node::Matches(t, p))
            }
            Operator::StartsWith | Operator::EndsWith | Operator::Contains => {
                let (left, value_type) = self.compile(errors, a);
                if operator == Operator::Contains && value_type == Type::required(BaseType::List) {
                    let inner = self.compile_required(errors, b, BaseType::Str);
                    inner.map(|inner| Node::InList(inner, left))
                } else {
                    let (text, inner) = (
                        self.compile_required(errors, a, BaseType::Str),
                        self.compile_required(errors, b, BaseType::Str),
                    );
                    text.zip(inner).map(|(t, i)| match operator {
                        Operator::StartsWith => Node::StartsWith(t, i),
                        Operator::EndsWith => Node::EndsWith(t, i),
                        _ => Node::Contains(t, i),
                    })
                }
            }
            _ => return self.compile_comparison(errors, ast, operator, a, b),
        };
        match node {
            Some(node) => self.fold(node, bool_type),
            None => self.unknown(),
        }
    }

    fn compile_comparison(
        &mut self,
        errors: &mut Vec<ExpressionError>,
        ast: &Ast,
        operator: Operator,
        a: &Ast,
        b: &Ast,
    ) -> (Id, Type) {
        let bool_type = Type::required(BaseType::Bool);
        let (left, value_type) = self.compile(errors, a);
        let (right, other) = self.compile(errors, b);
        if value_type.base == BaseType::Unknown || other.base == BaseType::Unknown {
            return self.unknown();
        }
        let before = errors.len();
        for (side, value_type) in [(a, value_type), (b, other)] {
            if value_type.optional {
                errors.push(absent_error(side, value_type));
            }
        }
        let needs_order = !matches!(operator, Operator::Equal | Operator::Unequal);
        let ordered_types = [BaseType::Int, BaseType::Duration];
        if value_type.base != other.base {
            let reason = format!(
                "a {} is compared with a {}",
                value_type.display(),
                other.display()
            );
            errors.push(ExpressionError::new(
                &ast.span,
                reason,
                "two values of one type; int(...) reads a number",
            ));
        } else if needs_order && !ordered_types.contains(&value_type.base) {
            let reason = format!("values of type {} have no order", value_type.display());
            errors.push(ExpressionError::new(
                &ast.span,
                reason,
                "ints or durations; == and != for others",
            ));
        } else if value_type.base == BaseType::List {
            errors.push(ExpressionError::new(
                &ast.span,
                "lists can't be compared",
                "x in list, len(list), nth(list, 0)",
            ));
        }
        if errors.len() > before {
            return self.unknown();
        }
        match operator {
            Operator::Equal => {
                // Operands are ordered so that `a == b` and `b == a` are interned as one node.
                let (left, right) = if left <= right {
                    (left, right)
                } else {
                    (right, left)
                };
                self.fold(Node::Equal(left, right), bool_type)
            }
            Operator::Unequal => {
                let (left, right) = if left <= right {
                    (left, right)
                } else {
                    (right, left)
                };
                let (equal, _) = self.fold(Node::Equal(left, right), bool_type);
                self.fold(Node::Not(equal), bool_type)
            }
            Operator::Less => self.fold(Node::Less(left, right), bool_type),
            Operator::LessEqual => self.fold(Node::LessEqual(left, right), bool_type),
            Operator::Greater => self.fold(Node::Less(right, left), bool_type),
            _ => self.fold(Node::LessEqual(right, left), bool_type),
        }
    }

    fn compile_in(&mut self, errors: &mut Vec<ExpressionError>, a: &Ast, b: &Ast) -> (Id, Type) {
        let bool_type = Type::required(BaseType::Bool);
        let (left, value_type) = self.compile(errors, a);
        if value_type.base == BaseType::Unknown {
            return self.unknown();
        }
        if value_type.optional {
            errors.push(absent_error(a, value_type));
            return self.unknown();
        }
        let before = errors.len();
        // A single address or range needs no brackets.
        let single = std::slice::from_ref(b);
        let list = match &b.kind {
            AstKind::List(elements) => elements.as_slice(),
            AstKind::Str(_) if value_type.base == BaseType::Ip => single,
            _ => {
                let Some(list) = self.compile_required(errors, b, BaseType::List) else {
                    return self.unknown();
                };
                if value_type.base != BaseType::Str {
                    let reason = format!(
                        "a {} can't be an element of a list of strings",
                        value_type.display()
                    );
                    errors.push(ExpressionError::new(&a.span, reason, "string"));
                    return self.unknown();
                }
                return self.fold(Node::InList(left, list), bool_type);
            }
        };
        if list.is_empty() {
            errors.push(ExpressionError::new(
                &b.span,
                "the list is empty",
                "one value or more",
            ));
        }
        let mut add_error = |element: &Ast, allowed: &str| {
            errors.push(ExpressionError::new(
                &element.span,
                "this is not allowed in the list",
                allowed,
            ));
        };
        let node = match value_type.base {
            BaseType::Str => {
                let mut strings: Vec<Box<str>> = Vec::new();
                for element in list {
                    match &element.kind {
                        AstKind::Str(text) => strings.push(text.as_str().into()),
                        _ => add_error(element, "literal strings"),
                    }
                }
                strings.sort();
                strings.dedup();
                Node::InStrings(left, strings.into())
            }
            BaseType::Int => {
                let mut numbers = Vec::new();
                for element in list {
                    match &element.kind {
                        AstKind::Int(number) => numbers.push(*number),
                        _ => add_error(element, "literal ints"),
                    }
                }
                numbers.sort_unstable();
                numbers.dedup();
                Node::InInts(left, numbers.into())
            }
            BaseType::Ip => {
                let mut networks = Vec::new();
                for element in list {
                    let network = match &element.kind {
                        AstKind::Str(text) => text
                            .parse::<IpNet>()
                            .ok()
                            .or_else(|| text.parse::<std::net::IpAddr>().ok().map(IpNet::from)),
                        _ => None,
                    };
                    match network {
                        Some(network) => networks.push(network),
                        None => add_error(
                            element,
                            "an address or a range, like \"10.0.0.0/8\" or \"::1\"",
                        ),
                    }
                }
                Node::InNetworks(left, networks.into())
            }
            _ => {
                let reason = format!("a {} can't be an element of a list", value_type.display());
                errors.push(ExpressionError::new(
                    &a.span,
                    reason,
                    "a string, an int or an address",
                ));
                return self.unknown();
            }
        };
        if errors.len() > before {
            return self.unknown();
        }
        self.fold(node, bool_type)
    }

    fn compile_pattern(&mut self, errors: &mut Vec<ExpressionError>, ast: &Ast) -> Option<u32> {
        let AstKind::Str(text) = &ast.kind else {
            errors.push(ExpressionError::new(
                &ast.span,
                "a pattern must be a literal string",
                "like \"^CR-[0-9]+$\"",
            ));
            return None;
        };
        if let Some(&known) = self.patterns.get(text) {
            return Some(known);
        }
        // A pattern matches anywhere in the string, unless it is anchored with ^ and $.
        let regex = RegexBuilder::new(text)
            .size_limit(MAX_PATTERN_BYTES)
            .dfa_size_limit(MAX_PATTERN_BYTES * 4)
            .build();
        let regex = match regex {
            Ok(regex) => regex,
            Err(error) => {
                let message = error.to_string();
                let reason = match error {
                    regex::Error::CompiledTooBig(_) => {
                        "the compiled pattern is too large".to_owned()
                    }
                    _ => format!(
                        "this is not a valid pattern: {}",
                        message.lines().last().unwrap_or_default().trim()
                    ),
                };
                errors.push(ExpressionError::new(
                    &ast.span,
                    reason,
                    "a regular expression without look-around, at most 128 KiB compiled",
                ));
                return None;
            }
        };
        self.pattern_bytes += text.len() * 64;
        if self.pattern_bytes > MAX_ALL_PATTERNS_BYTES {
            errors.push(ExpressionError::new(
                &ast.span,
                "all patterns together are too large",
                "fewer or shorter patterns",
            ));
            return None;
        }
        let index = self.program.patterns.len() as u32;
        self.program.patterns.push(regex);
        self.patterns.insert(text.clone(), index);
        Some(index)
    }
}

impl Id {
    fn with_type(self, value_type: Type) -> (Id, Type) {
        (self, value_type)
    }
}

/// The error for an optional value where a required one is needed.
fn absent_error(ast: &Ast, value_type: Type) -> ExpressionError {
    let default = match value_type.base {
        BaseType::Int => "?? 0",
        BaseType::Duration => "?? 0ms",
        _ => "?? \"\"",
    };
    let allowed = format!("a default ({default}), or present(...)");
    ExpressionError::new(
        &ast.span,
        "this value may be absent, and it has no default",
        allowed,
    )
}
