//! What an expression says, with its places.

use std::ops::Range;

/// A place in an expression's text, in bytes.
pub type Span = Range<usize>;

/// One thing that is wrong with an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Where.
    pub span: Span,
    /// What.
    pub reason: String,
    /// What is allowed there.
    pub allowed: String,
}

impl Mistake {
    pub(crate) fn new(span: &Span, reason: impl Into<String>, allowed: impl Into<String>) -> Self {
        Mistake {
            span: span.clone(),
            reason: reason.into(),
            allowed: allowed.into(),
        }
    }
}

/// A part of an expression.
#[derive(Clone, Debug, PartialEq)]
pub struct Ast {
    pub(crate) kind: Kind,
    /// Where it stands.
    pub span: Span,
}

/// Words that stand between two values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Infix {
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

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind {
    Bool(bool),
    Int(i64),
    Duration(i64),
    Str(String),
    Bytes(Vec<u8>),
    List(Vec<Ast>),
    /// `method`
    Name(String),
    /// `header["x"]`
    Index(String, Box<Ast>),
    Call(String, Vec<Ast>),
    Not(Box<Ast>),
    And(Box<Ast>, Box<Ast>),
    Or(Box<Ast>, Box<Ast>),
    Infix(Infix, Box<Ast>, Box<Ast>),
    Default(Box<Ast>, Box<Ast>),
    /// Something that was not understood, and was told.
    Unknown,
}

impl Ast {
    /// Its own parts, in order.
    pub fn parts(&self) -> Vec<&Ast> {
        match &self.kind {
            Kind::List(all) | Kind::Call(_, all) => all.iter().collect(),
            Kind::Index(_, one) | Kind::Not(one) => vec![one],
            Kind::And(a, b) | Kind::Or(a, b) | Kind::Infix(_, a, b) | Kind::Default(a, b) => {
                vec![a, b]
            }
            _ => Vec::new(),
        }
    }

    /// Is it written out, so that its value needs no telling?
    pub fn literal(&self) -> bool {
        matches!(
            self.kind,
            Kind::Bool(_)
                | Kind::Int(_)
                | Kind::Duration(_)
                | Kind::Str(_)
                | Kind::Bytes(_)
                | Kind::List(_)
        )
    }
}
