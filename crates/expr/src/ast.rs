//! The syntax tree of an expression, with spans.

use std::ops::Range;

/// A byte range of an expression's text.
pub type Span = Range<usize>;

/// A syntax or type error of an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpressionError {
    /// Where the error is.
    pub span: Span,
    /// What is wrong.
    pub reason: String,
    /// What is allowed instead.
    pub allowed: String,
}

impl ExpressionError {
    pub(crate) fn new(span: &Span, reason: impl Into<String>, allowed: impl Into<String>) -> Self {
        ExpressionError {
            span: span.clone(),
            reason: reason.into(),
            allowed: allowed.into(),
        }
    }
}

/// A node of the syntax tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Ast {
    pub(crate) kind: AstKind,
    /// The range of its text.
    pub span: Span,
}

/// Binary operators other than `and`, `or` and `??`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Operator {
    Equal,
    Unequal,
    Less,
    LessEqual,
    Greater,
    GreaterEqual,
    In,
    StartsWith,
    EndsWith,
    Contains,
    Matches,
}

/// The kind of a syntax tree node, with its children.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AstKind {
    Bool(bool),
    Int(i64),
    Duration(i64),
    Str(String),
    Bytes(Vec<u8>),
    List(Vec<Ast>),
    /// An input, like `method`.
    Name(String),
    /// A named value of an input, like `header["x"]`.
    Index(String, Box<Ast>),
    Call(String, Vec<Ast>),
    Not(Box<Ast>),
    And(Box<Ast>, Box<Ast>),
    Or(Box<Ast>, Box<Ast>),
    Binary(Operator, Box<Ast>, Box<Ast>),
    Default(Box<Ast>, Box<Ast>),
    /// A part with a syntax error, which has been reported.
    Unknown,
}

impl Ast {
    /// The children of the node, in the order of the text.
    pub fn children(&self) -> Vec<&Ast> {
        match &self.kind {
            AstKind::List(children) | AstKind::Call(_, children) => children.iter().collect(),
            AstKind::Index(_, child) | AstKind::Not(child) => vec![child],
            AstKind::And(a, b)
            | AstKind::Or(a, b)
            | AstKind::Binary(_, a, b)
            | AstKind::Default(a, b) => {
                vec![a, b]
            }
            _ => Vec::new(),
        }
    }

    /// Whether the node is a literal.
    pub fn is_literal(&self) -> bool {
        matches!(
            self.kind,
            AstKind::Bool(_)
                | AstKind::Int(_)
                | AstKind::Duration(_)
                | AstKind::Str(_)
                | AstKind::Bytes(_)
                | AstKind::List(_)
        )
    }
}
