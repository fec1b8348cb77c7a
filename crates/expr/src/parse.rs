//! The parser: a `logos` lexer and recursive descent with one function per precedence level. It continues after a syntax
//! error, so that several errors are reported at once.

use crate::ast::{Ast, AstKind, ExpressionError, Operator, Span};
use logos::Logos;

/// Longest text of an expression, in bytes.
pub const MAX_TEXT_BYTES: usize = 8 * 1024;
/// The deepest nesting of parentheses, brackets and calls.
pub const MAX_DEPTH: usize = 48;
/// The most values in an expression.
pub const MAX_VALUES: usize = 512;
/// The most errors that are reported for one expression.
const MAX_ERRORS: usize = 8;

#[derive(Logos, Clone, Copy, Debug, PartialEq)]
#[logos(skip r"[ \t\r\n]+")]
enum Token {
    #[regex(r"[A-Za-z_][A-Za-z0-9_]*")]
    Name,
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
    OpenParen,
    #[token(")")]
    CloseParen,
    #[token("[")]
    OpenBracket,
    #[token("]")]
    CloseBracket,
    #[token(",")]
    Comma,
}

struct Parser<'t> {
    text: &'t str,
    tokens: Vec<(Token, Span)>,
    /// Index of the next token.
    position: usize,
    depth: usize,
    values: usize,
    errors: Vec<ExpressionError>,
}

/// Parses an expression.
///
/// # Errors
/// Returns all syntax errors, up to a limit of eight.
pub fn parse(text: &str) -> Result<Ast, Vec<ExpressionError>> {
    let mut parser = Parser {
        text,
        tokens: Vec::new(),
        position: 0,
        depth: 0,
        values: 0,
        errors: Vec::new(),
    };
    if text.len() > MAX_TEXT_BYTES {
        parser.add_error(
            &(0..text.len()),
            "the expression is too long",
            "at most 8 KiB",
        );
        return Err(parser.errors);
    }
    for (token, span) in Token::lexer(text).spanned() {
        match token {
            Ok(token) => parser.tokens.push((token, span)),
            Err(()) => {
                let reason = match text[span.clone()].chars().next() {
                    Some('"') => "this string is not terminated".to_owned(),
                    Some('=') => "a single '=' is not an operator".to_owned(),
                    _ => format!("unexpected {:?}", &text[span.clone()]),
                };
                parser.add_error(
                    &span,
                    &reason,
                    "names, strings in double quotes, numbers, ( ) [ ] , and the operators",
                );
            }
        }
    }
    let ast = parser.parse_or();
    if let Some((_, span)) = parser.tokens.get(parser.position).cloned() {
        parser.add_error(
            &span,
            "unexpected text after the end of the expression",
            "'and', 'or', or the end of the expression",
        );
    }
    if parser.errors.is_empty() {
        Ok(ast)
    } else {
        Err(parser.errors)
    }
}

impl Parser<'_> {
    fn add_error(&mut self, span: &Span, reason: &str, allowed: &str) {
        // Later errors at the same position are consequences of the first one.
        let is_consequence = self.errors.iter().any(|m| m.span.start == span.start);
        if !is_consequence && self.errors.len() < MAX_ERRORS {
            self.errors
                .push(ExpressionError::new(span, reason, allowed));
        }
    }

    fn peek(&self) -> Option<Token> {
        self.tokens.get(self.position).map(|t| t.0)
    }

    fn current_span(&self) -> Span {
        self.tokens
            .get(self.position)
            .map_or(self.text.len()..self.text.len(), |t| t.1.clone())
    }

    fn current_word(&self) -> Option<&str> {
        match self.tokens.get(self.position) {
            Some((Token::Name, span)) => Some(&self.text[span.clone()]),
            _ => None,
        }
    }

    /// Consumes the next token if it is `token`.
    fn accept(&mut self, token: Token) -> bool {
        let accepted = self.peek() == Some(token);
        self.position += usize::from(accepted);
        accepted
    }

    /// Consumes the next token, which has to be `token`.
    fn expect(&mut self, token: Token, name: &str) {
        if !self.accept(token) {
            let next_span = self.current_span();
            self.add_error(&next_span, &format!("{name} is missing"), name);
        }
    }

    fn parse_or(&mut self) -> Ast {
        let mut left = self.parse_and();
        while self.current_word() == Some("or") {
            self.position += 1;
            let right = self.parse_and();
            let span = left.span.start..right.span.end;
            left = Ast {
                kind: AstKind::Or(Box::new(left), Box::new(right)),
                span,
            };
        }
        left
    }

    fn parse_and(&mut self) -> Ast {
        let mut left = self.parse_not();
        while self.current_word() == Some("and") {
            self.position += 1;
            let right = self.parse_not();
            let span = left.span.start..right.span.end;
            left = Ast {
                kind: AstKind::And(Box::new(left), Box::new(right)),
                span,
            };
        }
        left
    }

    fn parse_not(&mut self) -> Ast {
        let start = self.current_span().start;
        let mut count = 0;
        while self.current_word() == Some("not") {
            self.position += 1;
            count += 1;
        }
        let mut inner = self.parse_comparison();
        // Pairs of `not` cancel out.
        if count % 2 == 1 {
            let span = start..inner.span.end;
            inner = Ast {
                kind: AstKind::Not(Box::new(inner)),
                span,
            };
        }
        inner
    }

    fn peek_operator(&self) -> Option<Operator> {
        Some(match self.peek()? {
            Token::Equal => Operator::Equal,
            Token::Unequal => Operator::Unequal,
            Token::Less => Operator::Less,
            Token::LessEqual => Operator::LessEqual,
            Token::Greater => Operator::Greater,
            Token::GreaterEqual => Operator::GreaterEqual,
            Token::Name => match self.current_word()? {
                "in" => Operator::In,
                "starts_with" => Operator::StartsWith,
                "ends_with" => Operator::EndsWith,
                "contains" => Operator::Contains,
                "matches" => Operator::Matches,
                _ => return None,
            },
            _ => return None,
        })
    }

    fn parse_comparison(&mut self) -> Ast {
        let left = self.parse_default();
        let Some(operator) = self.peek_operator() else {
            return left;
        };
        self.position += 1;
        let right = self.parse_default();
        let span = left.span.start..right.span.end;
        if self.peek_operator().is_some() {
            let next_span = self.current_span();
            self.add_error(
                &next_span,
                "comparisons can't be chained",
                "parentheses, or two comparisons with 'and'",
            );
            self.position += 1;
            self.parse_default();
        }
        Ast {
            kind: AstKind::Binary(operator, Box::new(left), Box::new(right)),
            span,
        }
    }

    fn parse_default(&mut self) -> Ast {
        let mut left = self.parse_primary();
        while self.accept(Token::Default) {
            let right = self.parse_primary();
            let span = left.span.start..right.span.end;
            left = Ast {
                kind: AstKind::Default(Box::new(left), Box::new(right)),
                span,
            };
        }
        left
    }

    fn parse_primary(&mut self) -> Ast {
        let span = self.current_span();
        let unknown = Ast {
            kind: AstKind::Unknown,
            span: span.clone(),
        };
        if self.depth >= MAX_DEPTH {
            self.add_error(
                &span,
                "the expression is nested too deeply",
                "at most 48 levels",
            );
            self.position = self.tokens.len();
            return unknown;
        }
        self.values += 1;
        if self.values > MAX_VALUES {
            self.add_error(
                &span,
                "the expression has too many parts",
                "at most 512 values",
            );
            self.position = self.tokens.len();
            return unknown;
        }
        let Some(token) = self.peek() else {
            self.add_error(
                &span,
                "a value is missing",
                "a name, a string, a number, or an expression in parentheses",
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
                self.position += 1;
                self.parse_quoted(token, span)
            }
            Token::Int => {
                self.position += 1;
                match text.parse::<i64>() {
                    Ok(number) => literal(AstKind::Int(number)),
                    Err(_) => {
                        self.add_error(
                            &span,
                            "this number is too large",
                            "up to 9223372036854775807",
                        );
                        unknown
                    }
                }
            }
            Token::Duration => {
                self.position += 1;
                match parse_duration(text) {
                    Some(micros) => literal(AstKind::Duration(micros)),
                    None => {
                        self.add_error(
                            &span,
                            "this duration is too long",
                            "up to 9223372036854775807us",
                        );
                        unknown
                    }
                }
            }
            Token::OpenParen => {
                self.position += 1;
                self.depth += 1;
                let mut inner = self.parse_or();
                self.depth -= 1;
                self.expect(Token::CloseParen, "')'");
                inner.span = span.start..self.previous_end();
                inner
            }
            Token::OpenBracket => {
                self.position += 1;
                self.depth += 1;
                let elements = self.parse_list(Token::CloseBracket);
                self.depth -= 1;
                self.expect(Token::CloseBracket, "']'");
                Ast {
                    kind: AstKind::List(elements),
                    span: span.start..self.previous_end(),
                }
            }
            Token::Name => {
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
                    self.add_error(
                        &span,
                        &format!("a value is missing before '{name}'"),
                        "a name, a string or a number",
                    );
                    return unknown;
                }
                self.position += 1;
                match name.as_str() {
                    "true" => return literal(AstKind::Bool(true)),
                    "false" => return literal(AstKind::Bool(false)),
                    _ => {}
                }
                if self.accept(Token::OpenParen) {
                    self.depth += 1;
                    let arguments = self.parse_list(Token::CloseParen);
                    self.depth -= 1;
                    self.expect(Token::CloseParen, "')'");
                    return Ast {
                        kind: AstKind::Call(name, arguments),
                        span: span.start..self.previous_end(),
                    };
                }
                if self.accept(Token::OpenBracket) {
                    self.depth += 1;
                    let index = self.parse_or();
                    self.depth -= 1;
                    self.expect(Token::CloseBracket, "']'");
                    return Ast {
                        kind: AstKind::Index(name, Box::new(index)),
                        span: span.start..self.previous_end(),
                    };
                }
                literal(AstKind::Name(name))
            }
            _ => {
                self.add_error(
                    &span,
                    &format!("a value is missing before {text:?}"),
                    "a name, a string or a number",
                );
                // Closing tokens and commas are left for the enclosing expression.
                if !matches!(
                    token,
                    Token::CloseParen | Token::CloseBracket | Token::Comma
                ) {
                    self.position += 1;
                }
                unknown
            }
        }
    }

    /// Parses comma-separated expressions up to a closing token.
    fn parse_list(&mut self, close: Token) -> Vec<Ast> {
        let mut list = Vec::new();
        while self.peek().is_some() && self.peek() != Some(close) {
            let before = self.position;
            list.push(self.parse_or());
            if !self.accept(Token::Comma) || self.position == before {
                break;
            }
        }
        list
    }

    /// The end of the previous token.
    fn previous_end(&self) -> usize {
        self.position
            .checked_sub(1)
            .and_then(|n| self.tokens.get(n))
            .map_or(0, |t| t.1.end)
    }

    fn parse_quoted(&mut self, token: Token, span: Span) -> Ast {
        let text = self.text[span.clone()].trim_start_matches('b');
        let inner = &text[1..text.len() - 1];
        let mut bytes = Vec::with_capacity(inner.len());
        let mut rest = inner.chars();
        while let Some(char) = rest.next() {
            let character = match char {
                '\\' => match rest.next() {
                    Some('n') => '\n',
                    Some('t') => '\t',
                    Some(escaped @ ('"' | '\\')) => escaped,
                    Some('x') if token == Token::Bytes => {
                        let digits: String = rest.by_ref().take(2).collect();
                        match u8::from_str_radix(&digits, 16) {
                            Ok(byte) if digits.len() == 2 => bytes.push(byte),
                            _ => self.add_error(
                                &span,
                                "'\\x' requires two hexadecimal digits",
                                "like \\x7f",
                            ),
                        }
                        continue;
                    }
                    // Other escapes are kept for the regular expression.
                    Some(other) => {
                        bytes.push(b'\\');
                        other
                    }
                    None => continue,
                },
                other => other,
            };
            bytes.extend(character.encode_utf8(&mut [0; 4]).as_bytes());
        }
        let kind = match token {
            Token::Bytes => AstKind::Bytes(bytes),
            _ => AstKind::Str(String::from_utf8_lossy(&bytes).into_owned()),
        };
        Ast { kind, span }
    }
}

/// Parses a duration literal into microseconds.
pub(crate) fn parse_duration(text: &str) -> Option<i64> {
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
