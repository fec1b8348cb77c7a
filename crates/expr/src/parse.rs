//! The parser: tokens by `logos`, then precedence climbing. It goes on behind what it does not understand, so that
//! several mistakes are told at once.

use crate::ast::{Ast, Infix, Kind, Mistake, Span};
use logos::Logos;

/// Longest text of an expression, in bytes.
pub const TEXT_MOST: usize = 8 * 1024;
/// Deepest nesting.
pub const DEPTH_MOST: usize = 48;
/// Most values in an expression.
pub const VALUES_MOST: usize = 512;
/// Mistakes that are told of one expression.
const MISTAKES_MOST: usize = 8;

#[derive(Logos, Clone, Copy, Debug, PartialEq)]
#[logos(skip r"[ \t\r\n]+")]
enum Token {
    #[regex(r"[A-Za-z_][A-Za-z0-9_]*")]
    Word,
    #[regex(r"-?[0-9]+")]
    Int,
    #[regex(r"[0-9]+(us|ms|s|min)")]
    Duration,
    #[regex(r#""([^"\\]|\\.)*""#)]
    Str,
    #[regex(r#"b"([^"\\]|\\.)*""#)]
    Bytes,
    #[token("==")]
    Equal,
    #[token("!=")]
    Unequal,
    #[token("<=")]
    LessEqual,
    #[token(">=")]
    GreaterEqual,
    #[token("<")]
    Less,
    #[token(">")]
    Greater,
    #[token("??")]
    Default,
    #[token("(")]
    Open,
    #[token(")")]
    Close,
    #[token("[")]
    OpenList,
    #[token("]")]
    CloseList,
    #[token(",")]
    Comma,
}

struct Parser<'t> {
    text: &'t str,
    tokens: Vec<(Token, Span)>,
    at: usize,
    depth: usize,
    values: usize,
    mistakes: Vec<Mistake>,
}

/// Parses an expression. What is not understood is `Unknown` in the tree, and told.
///
/// # Errors
/// All mistakes of form, eight at the most.
pub fn parse(text: &str) -> Result<Ast, Vec<Mistake>> {
    let mut parser = Parser {
        text,
        tokens: Vec::new(),
        at: 0,
        depth: 0,
        values: 0,
        mistakes: Vec::new(),
    };
    if text.len() > TEXT_MOST {
        parser.fault(
            &(0..text.len()),
            "the expression is too long",
            "8 KiB at the most",
        );
        return Err(parser.mistakes);
    }
    for (token, span) in Token::lexer(text).spanned() {
        match token {
            Ok(token) => parser.tokens.push((token, span)),
            Err(()) => {
                let reason = match text[span.clone()].chars().next() {
                    Some('"') => "this text has no end".to_owned(),
                    Some('=') => "one '=' compares nothing".to_owned(),
                    _ => format!("{:?} means nothing here", &text[span.clone()]),
                };
                parser.fault(
                    &span,
                    &reason,
                    "names, texts in double quotes, numbers, ( ) [ ] , and the operators",
                );
            }
        }
    }
    let ast = parser.either();
    if let Some((_, span)) = parser.tokens.get(parser.at).cloned() {
        parser.fault(
            &span,
            "the expression has ended before this",
            "and, or, or nothing",
        );
    }
    if parser.mistakes.is_empty() {
        Ok(ast)
    } else {
        Err(parser.mistakes)
    }
}

impl Parser<'_> {
    fn fault(&mut self, span: &Span, reason: &str, allowed: &str) {
        // What follows at the same place follows from it.
        let known = self.mistakes.iter().any(|m| m.span.start == span.start);
        if !known && self.mistakes.len() < MISTAKES_MOST {
            self.mistakes.push(Mistake::new(span, reason, allowed));
        }
    }

    fn peek(&self) -> Option<Token> {
        self.tokens.get(self.at).map(|t| t.0)
    }

    fn here(&self) -> Span {
        self.tokens
            .get(self.at)
            .map_or(self.text.len()..self.text.len(), |t| t.1.clone())
    }

    fn word(&self) -> Option<&str> {
        match self.tokens.get(self.at) {
            Some((Token::Word, span)) => Some(&self.text[span.clone()]),
            _ => None,
        }
    }

    fn take(&mut self, token: Token) -> bool {
        let taken = self.peek() == Some(token);
        self.at += usize::from(taken);
        taken
    }

    fn want(&mut self, token: Token, what: &str) {
        if !self.take(token) {
            let here = self.here();
            self.fault(&here, &format!("{what} is missing"), what);
        }
    }

    fn either(&mut self) -> Ast {
        let mut left = self.all();
        while self.word() == Some("or") {
            self.at += 1;
            let right = self.all();
            let span = left.span.start..right.span.end;
            left = Ast {
                kind: Kind::Or(Box::new(left), Box::new(right)),
                span,
            };
        }
        left
    }

    fn all(&mut self) -> Ast {
        let mut left = self.negated();
        while self.word() == Some("and") {
            self.at += 1;
            let right = self.negated();
            let span = left.span.start..right.span.end;
            left = Ast {
                kind: Kind::And(Box::new(left), Box::new(right)),
                span,
            };
        }
        left
    }

    fn negated(&mut self) -> Ast {
        let start = self.here().start;
        let mut count = 0;
        while self.word() == Some("not") {
            self.at += 1;
            count += 1;
        }
        let mut inner = self.compared();
        // Two of them are none.
        if count % 2 == 1 {
            let span = start..inner.span.end;
            inner = Ast {
                kind: Kind::Not(Box::new(inner)),
                span,
            };
        }
        inner
    }

    fn infix(&self) -> Option<Infix> {
        Some(match self.peek()? {
            Token::Equal => Infix::Equal,
            Token::Unequal => Infix::Unequal,
            Token::Less => Infix::Less,
            Token::LessEqual => Infix::LessEqual,
            Token::Greater => Infix::Greater,
            Token::GreaterEqual => Infix::GreaterEqual,
            Token::Word => match self.word()? {
                "in" => Infix::In,
                "starts_with" => Infix::StartsWith,
                "ends_with" => Infix::EndsWith,
                "contains" => Infix::Contains,
                "matches" => Infix::Matches,
                _ => return None,
            },
            _ => return None,
        })
    }

    fn compared(&mut self) -> Ast {
        let left = self.defaulted();
        let Some(infix) = self.infix() else {
            return left;
        };
        self.at += 1;
        let right = self.defaulted();
        let span = left.span.start..right.span.end;
        if self.infix().is_some() {
            let here = self.here();
            self.fault(
                &here,
                "a comparison of a comparison",
                "parentheses, or two comparisons with 'and'",
            );
            self.at += 1;
            self.defaulted();
        }
        Ast {
            kind: Kind::Infix(infix, Box::new(left), Box::new(right)),
            span,
        }
    }

    fn defaulted(&mut self) -> Ast {
        let mut left = self.primary();
        while self.take(Token::Default) {
            let right = self.primary();
            let span = left.span.start..right.span.end;
            left = Ast {
                kind: Kind::Default(Box::new(left), Box::new(right)),
                span,
            };
        }
        left
    }

    fn primary(&mut self) -> Ast {
        let span = self.here();
        let unknown = Ast {
            kind: Kind::Unknown,
            span: span.clone(),
        };
        if self.depth >= DEPTH_MOST {
            self.fault(
                &span,
                "the expression is nested too deeply",
                "48 levels at the most",
            );
            self.at = self.tokens.len();
            return unknown;
        }
        self.values += 1;
        if self.values > VALUES_MOST {
            self.fault(
                &span,
                "the expression has too many parts",
                "512 values at the most",
            );
            self.at = self.tokens.len();
            return unknown;
        }
        let Some(token) = self.peek() else {
            self.fault(
                &span,
                "a value is missing",
                "a name, a text, a number, or an expression in parentheses",
            );
            return unknown;
        };
        let text = &self.text[span.clone()];
        let literal = |kind| Ast {
            kind,
            span: span.clone(),
        };
        match token {
            Token::Str | Token::Bytes => {
                self.at += 1;
                self.quoted(token, span)
            }
            Token::Int => {
                self.at += 1;
                match text.parse::<i64>() {
                    Ok(number) => literal(Kind::Int(number)),
                    Err(_) => {
                        self.fault(
                            &span,
                            "this number is too large",
                            "up to 9223372036854775807",
                        );
                        unknown
                    }
                }
            }
            Token::Duration => {
                self.at += 1;
                match duration(text) {
                    Some(micros) => literal(Kind::Duration(micros)),
                    None => {
                        self.fault(
                            &span,
                            "this time is too long",
                            "up to 9223372036854775807us",
                        );
                        unknown
                    }
                }
            }
            Token::Open => {
                self.at += 1;
                self.depth += 1;
                let mut inner = self.either();
                self.depth -= 1;
                self.want(Token::Close, "')'");
                inner.span = span.start..self.end();
                inner
            }
            Token::OpenList => {
                self.at += 1;
                self.depth += 1;
                let parts = self.parts(Token::CloseList);
                self.depth -= 1;
                self.want(Token::CloseList, "']'");
                Ast {
                    kind: Kind::List(parts),
                    span: span.start..self.end(),
                }
            }
            Token::Word => {
                let name = text.to_owned();
                if [
                    "and",
                    "or",
                    "in",
                    "starts_with",
                    "ends_with",
                    "contains",
                    "matches",
                ]
                .contains(&name.as_str())
                {
                    self.fault(
                        &span,
                        &format!("a value is missing before '{name}'"),
                        "a name, a text or a number",
                    );
                    return unknown;
                }
                self.at += 1;
                match name.as_str() {
                    "true" => return literal(Kind::Bool(true)),
                    "false" => return literal(Kind::Bool(false)),
                    _ => {}
                }
                if self.take(Token::Open) {
                    self.depth += 1;
                    let parts = self.parts(Token::Close);
                    self.depth -= 1;
                    self.want(Token::Close, "')'");
                    return Ast {
                        kind: Kind::Call(name, parts),
                        span: span.start..self.end(),
                    };
                }
                if self.take(Token::OpenList) {
                    self.depth += 1;
                    let index = self.either();
                    self.depth -= 1;
                    self.want(Token::CloseList, "']'");
                    return Ast {
                        kind: Kind::Index(name, Box::new(index)),
                        span: span.start..self.end(),
                    };
                }
                literal(Kind::Name(name))
            }
            _ => {
                self.fault(
                    &span,
                    &format!("a value is missing before {text:?}"),
                    "a name, a text or a number",
                );
                // What closes something is left for it.
                if !matches!(token, Token::Close | Token::CloseList | Token::Comma) {
                    self.at += 1;
                }
                unknown
            }
        }
    }

    /// Parts with commas between them.
    fn parts(&mut self, close: Token) -> Vec<Ast> {
        let mut parts = Vec::new();
        while self.peek().is_some() && self.peek() != Some(close) {
            let before = self.at;
            parts.push(self.either());
            if !self.take(Token::Comma) || self.at == before {
                break;
            }
        }
        parts
    }

    /// The end of what was taken last.
    fn end(&self) -> usize {
        self.at
            .checked_sub(1)
            .and_then(|n| self.tokens.get(n))
            .map_or(0, |t| t.1.end)
    }

    fn quoted(&mut self, token: Token, span: Span) -> Ast {
        let text = self.text[span.clone()].trim_start_matches('b');
        let inner = &text[1..text.len() - 1];
        let mut bytes = Vec::with_capacity(inner.len());
        let mut rest = inner.chars();
        while let Some(char) = rest.next() {
            let plain = match char {
                '\\' => match rest.next() {
                    Some('n') => '\n',
                    Some('t') => '\t',
                    Some(same @ ('"' | '\\')) => same,
                    Some('x') if token == Token::Bytes => {
                        let digits: String = rest.by_ref().take(2).collect();
                        match u8::from_str_radix(&digits, 16) {
                            Ok(byte) if digits.len() == 2 => bytes.push(byte),
                            _ => self.fault(
                                &span,
                                "'\\x' wants two hexadecimal digits",
                                "like \\x7f",
                            ),
                        }
                        continue;
                    }
                    // A pattern's escapes are the pattern's.
                    Some(other) => {
                        bytes.push(b'\\');
                        other
                    }
                    None => continue,
                },
                other => other,
            };
            bytes.extend(plain.encode_utf8(&mut [0; 4]).as_bytes());
        }
        let kind = match token {
            Token::Bytes => Kind::Bytes(bytes),
            _ => Kind::Str(String::from_utf8_lossy(&bytes).into_owned()),
        };
        Ast { kind, span }
    }
}

/// A span of time in microseconds.
pub(crate) fn duration(text: &str) -> Option<i64> {
    let unit = text.trim_start_matches(|c: char| c.is_ascii_digit());
    let number = text[..text.len() - unit.len()].parse::<i64>().ok()?;
    let scale = match unit {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        "min" => 60_000_000,
        _ => return None,
    };
    number.checked_mul(scale)
}
