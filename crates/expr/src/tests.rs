//! Tests of the language. A reference evaluator walks the syntax tree directly and shares no code with the compiled form.

use crate::ast::{Ast, AstKind, Operator};
use crate::{
    harness, hash, parse, Builder, ExpectedType, ExpressionError, Head, Scratch, Steps, Value,
    STEP_BUDGET,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// A value of the reference evaluator.
#[derive(Clone, Debug, PartialEq)]
enum ReferenceValue {
    Absent,
    Bool(bool),
    Int(i64),
    Duration(i64),
    Str(String),
    Bytes(Vec<u8>),
    Ip(std::net::IpAddr),
    List(Vec<String>),
}

/// Evaluates a syntax tree without compiling it.
fn evaluate_reference(ast: &Ast, head: &Head<'_>) -> ReferenceValue {
    let string = |v: Option<String>| v.map_or(ReferenceValue::Absent, ReferenceValue::Str);
    let values = |name: &str| {
        head.headers
            .get_all(name)
            .iter()
            .map(|v| v.as_bytes().to_vec())
            .collect::<Vec<_>>()
    };
    let texts = |name: &str| {
        values(name)
            .into_iter()
            .filter_map(|v| String::from_utf8(v).ok())
            .collect::<Vec<_>>()
    };
    let only = |name: &str| match values(name).as_slice() {
        [one] => Some(one.clone()),
        _ => None,
    };
    let pairs = || {
        let decode = |t: &str| {
            let mut bytes = Vec::new();
            let raw = t.as_bytes();
            let mut n = 0;
            while n < raw.len() {
                let hex = raw
                    .get(n + 1..n + 3)
                    .and_then(|h| std::str::from_utf8(h).ok());
                let hex = hex.filter(|h| h.bytes().all(|b| b.is_ascii_hexdigit()));
                match (raw[n], hex) {
                    (b'%', Some(hex)) => {
                        bytes.push(u8::from_str_radix(hex, 16).expect("digits"));
                        n += 2;
                    }
                    (b'+', _) => bytes.push(b' '),
                    (other, _) => bytes.push(other),
                }
                n += 1;
            }
            String::from_utf8(bytes).unwrap_or_else(|_| t.to_owned())
        };
        let all = head
            .query
            .split('&')
            .filter(|p| !p.is_empty())
            .map(move |p| {
                let (name, value) = p.split_once('=').unwrap_or((p, ""));
                (decode(name), decode(value))
            });
        if head.query.len() > crate::MAX_PAIRS_BYTES {
            Vec::new()
        } else {
            all.collect::<Vec<_>>()
        }
    };
    let Ast { kind, .. } = ast;
    match kind {
        AstKind::Bool(b) => ReferenceValue::Bool(*b),
        AstKind::Int(n) => ReferenceValue::Int(*n),
        AstKind::Duration(n) => ReferenceValue::Duration(*n),
        AstKind::Str(t) => ReferenceValue::Str(t.clone()),
        AstKind::Bytes(b) => ReferenceValue::Bytes(b.clone()),
        AstKind::List(_) | AstKind::Unknown => unreachable!("not evaluated by itself"),
        AstKind::Name(name) => match name.as_str() {
            "method" => ReferenceValue::Str(head.method.to_string()),
            "path" => ReferenceValue::Str(head.path.to_owned()),
            "segments" => ReferenceValue::List(
                head.path
                    .split('/')
                    .skip(1)
                    .filter(|s| !s.is_empty())
                    .map(str::to_owned)
                    .collect(),
            ),
            "length" => only("content-length")
                .and_then(|v| String::from_utf8(v).ok()?.parse().ok())
                .map_or(ReferenceValue::Absent, ReferenceValue::Int),
            "timeout" => only("x-timeout")
                .and_then(|v| {
                    let text = String::from_utf8(v).ok()?;
                    let scale = if text.ends_with('m') {
                        1_000
                    } else if text.ends_with('u') {
                        1
                    } else {
                        return None;
                    };
                    text[..text.len() - 1]
                        .parse::<u32>()
                        .ok()
                        .map(|n| i64::from(n) * scale)
                })
                .map_or(ReferenceValue::Absent, ReferenceValue::Duration),
            "client" => ReferenceValue::Ip(head.client),
            other => unreachable!("{other}"),
        },
        AstKind::Index(of, name) => {
            let AstKind::Str(name) = &name.kind else {
                unreachable!("a literal name")
            };
            match of.as_str() {
                "header" => string(only(name).and_then(|v| String::from_utf8(v).ok())),
                "header_bytes" => only(name).map_or(ReferenceValue::Absent, ReferenceValue::Bytes),
                "headers" => ReferenceValue::List(texts(name)),
                "cookie" => {
                    let all: Vec<String> = texts("cookie");
                    if all.iter().map(String::len).sum::<usize>() > crate::MAX_PAIRS_BYTES {
                        return ReferenceValue::Absent;
                    }
                    let found: Vec<String> = all
                        .iter()
                        .flat_map(|l| l.split(';'))
                        .filter_map(|p| p.trim().split_once('='))
                        .filter(|(n, _)| n == name)
                        .map(|(_, v)| v.to_owned())
                        .collect();
                    string(if found.len() == 1 {
                        found.first().cloned()
                    } else {
                        None
                    })
                }
                "query" => {
                    let found: Vec<String> = pairs()
                        .into_iter()
                        .filter(|(n, _)| n == name)
                        .map(|p| p.1)
                        .collect();
                    string(if found.len() == 1 {
                        found.first().cloned()
                    } else {
                        None
                    })
                }
                _ => ReferenceValue::List(
                    pairs()
                        .into_iter()
                        .filter(|(n, _)| n == name)
                        .map(|p| p.1)
                        .collect(),
                ),
            }
        }
        AstKind::Not(a) => {
            ReferenceValue::Bool(evaluate_reference(a, head) != ReferenceValue::Bool(true))
        }
        AstKind::And(a, b) => ReferenceValue::Bool(
            evaluate_reference(a, head) == ReferenceValue::Bool(true)
                && evaluate_reference(b, head) == ReferenceValue::Bool(true),
        ),
        AstKind::Or(a, b) => ReferenceValue::Bool(
            evaluate_reference(a, head) == ReferenceValue::Bool(true)
                || evaluate_reference(b, head) == ReferenceValue::Bool(true),
        ),
        AstKind::Default(a, b) => match evaluate_reference(a, head) {
            ReferenceValue::Absent => evaluate_reference(b, head),
            other => other,
        },
        AstKind::Call(name, arguments) => call_reference(name, arguments, head),
        AstKind::Binary(operator, a, b) => {
            ReferenceValue::Bool(binary_holds(*operator, a, b, head))
        }
    }
}

fn call_reference(name: &str, arguments: &[Ast], head: &Head<'_>) -> ReferenceValue {
    let first = evaluate_reference(&arguments[0], head);
    match (name, first) {
        ("present", v) => ReferenceValue::Bool(v != ReferenceValue::Absent),
        ("lower", ReferenceValue::Str(t)) => ReferenceValue::Str(t.to_ascii_lowercase()),
        ("trim", ReferenceValue::Str(t)) => {
            ReferenceValue::Str(t.trim_matches(|c: char| c.is_ascii_whitespace()).to_owned())
        }
        ("int", ReferenceValue::Str(t)) => {
            let digits = t.strip_prefix('-').unwrap_or(&t);
            let is_int =
                !digits.is_empty() && t.len() <= 20 && digits.bytes().all(|b| b.is_ascii_digit());
            is_int
                .then(|| t.parse().ok())
                .flatten()
                .map_or(ReferenceValue::Absent, ReferenceValue::Int)
        }
        ("len", ReferenceValue::Str(t)) => ReferenceValue::Int(t.len() as i64),
        ("len", ReferenceValue::Bytes(b)) => ReferenceValue::Int(b.len() as i64),
        ("len", ReferenceValue::List(l)) => ReferenceValue::Int(l.len() as i64),
        ("split", ReferenceValue::Str(t)) => {
            let AstKind::Str(separator) = &arguments[1].kind else {
                unreachable!("a literal")
            };
            ReferenceValue::List(t.split(separator.as_str()).map(str::to_owned).collect())
        }
        ("nth", ReferenceValue::List(l)) => {
            let AstKind::Int(index) = &arguments[1].kind else {
                unreachable!("a literal")
            };
            l.get(*index as usize)
                .map_or(ReferenceValue::Absent, |t| ReferenceValue::Str(t.clone()))
        }
        ("hash", ReferenceValue::Str(t)) => {
            let AstKind::Int(modulus) = &arguments[1].kind else {
                unreachable!("a literal")
            };
            ReferenceValue::Int((hash(t.as_bytes()) % *modulus as u64) as i64)
        }
        ("concat", _) => {
            let mut key = String::new();
            for argument in arguments {
                let text = match evaluate_reference(argument, head) {
                    ReferenceValue::Str(t) => t,
                    ReferenceValue::Int(n) => n.to_string(),
                    _ => return ReferenceValue::Absent,
                };
                key += &format!("{}:{text}", text.len());
            }
            ReferenceValue::Str(key)
        }
        (name, value) => unreachable!("{name} of {value:?}"),
    }
}

fn binary_holds(operator: Operator, a: &Ast, b: &Ast, head: &Head<'_>) -> bool {
    let left = evaluate_reference(a, head);
    if operator == Operator::In {
        if let AstKind::List(all) = &b.kind {
            return match left {
                ReferenceValue::Ip(ip) => all.iter().any(|n| network_contains(n, ip)),
                other => all.iter().any(|v| evaluate_reference(v, head) == other),
            };
        }
        if let ReferenceValue::Ip(ip) = left {
            return network_contains(b, ip);
        }
    }
    if operator == Operator::Matches {
        let (ReferenceValue::Str(text), AstKind::Str(pattern)) = (&left, &b.kind) else {
            unreachable!("type-checked")
        };
        return text.len() <= crate::MAX_MATCH_BYTES
            && regex::Regex::new(pattern)
                .expect("a pattern")
                .is_match(text);
    }
    let right = evaluate_reference(b, head);
    match (operator, &left, &right) {
        (Operator::Equal, a, b) => a == b,
        (Operator::Unequal, a, b) => a != b,
        (Operator::Less, ReferenceValue::Int(a), ReferenceValue::Int(b))
        | (Operator::Less, ReferenceValue::Duration(a), ReferenceValue::Duration(b)) => a < b,
        (Operator::LessEqual, ReferenceValue::Int(a), ReferenceValue::Int(b))
        | (Operator::LessEqual, ReferenceValue::Duration(a), ReferenceValue::Duration(b)) => a <= b,
        (Operator::Greater, ReferenceValue::Int(a), ReferenceValue::Int(b))
        | (Operator::Greater, ReferenceValue::Duration(a), ReferenceValue::Duration(b)) => a > b,
        (Operator::GreaterEqual, ReferenceValue::Int(a), ReferenceValue::Int(b))
        | (Operator::GreaterEqual, ReferenceValue::Duration(a), ReferenceValue::Duration(b)) => {
            a >= b
        }
        (Operator::In, ReferenceValue::Str(a), ReferenceValue::List(b)) => b.contains(a),
        (Operator::StartsWith, ReferenceValue::Str(a), ReferenceValue::Str(b)) => {
            a.starts_with(b.as_str())
        }
        (Operator::EndsWith, ReferenceValue::Str(a), ReferenceValue::Str(b)) => {
            a.ends_with(b.as_str())
        }
        (Operator::Contains, ReferenceValue::Str(a), ReferenceValue::Str(b)) => {
            a.contains(b.as_str())
        }
        (Operator::Contains, ReferenceValue::List(a), ReferenceValue::Str(b)) => a.contains(b),
        other => unreachable!("{other:?}"),
    }
}

fn network_contains(ast: &Ast, ip: std::net::IpAddr) -> bool {
    let AstKind::Str(text) = &ast.kind else {
        unreachable!("a literal")
    };
    match text.parse::<ipnet::IpNet>() {
        Ok(net) => net.contains(&ip),
        Err(_) => text.parse::<std::net::IpAddr>().expect("an address") == ip,
    }
}

/// Well-typed conditions. Tests also combine them.
const CONDITIONS: &[&str] = &[
    "true",
    "false",
    "not false",
    "not not true",
    "method == \"POST\"",
    "method != \"GET\"",
    "\"GET\" == method",
    "method in [\"GET\", \"HEAD\"]",
    "method in [\"POST\"]",
    "path == \"/fees\"",
    "path starts_with \"/fees/\"",
    "path ends_with \"/status\"",
    "path contains \"members\"",
    "path matches \"^/fees/[0-9]+$\"",
    "path matches \"a|b\" or path matches \"^/$\"",
    "len(path) > 5",
    "len(path) <= 5",
    "len(segments) == 2",
    "\"fees\" in segments",
    "segments contains \"members\"",
    "(nth(segments, 0) ?? \"\") == \"fees\"",
    "present(nth(segments, 1))",
    "int(nth(segments, 1) ?? \"\") ?? 0 >= 7",
    "(int(nth(segments, 1) ?? \"\") ?? -1) == 7",
    "present(header[\"x-branch\"])",
    "not present(header[\"x-branch\"])",
    "(header[\"x-branch\"] ?? \"\") starts_with \"CR-\"",
    "lower(header[\"x-branch\"] ?? \"\") == \"cr-7\"",
    "trim(header[\"x-pad\"] ?? \"\") == \"x\"",
    "(header[\"x-branch\"] ?? \"none\") != \"none\"",
    "(header[\"content-type\"] ?? \"\") == \"application/json\"",
    "(header[\"x-branch\"] ?? header[\"x-pad\"] ?? \"\") == \"CR-7\"",
    "len(headers[\"x-many\"]) > 1",
    "\"b\" in headers[\"x-many\"]",
    "(nth(headers[\"x-many\"], 1) ?? \"\") == \"b\"",
    "headers[\"x-many\"] contains \"a\"",
    "(header_bytes[\"x-raw\"] ?? b\"\") == b\"\\xff\\x00\"",
    "len(header_bytes[\"x-raw\"] ?? b\"\") == 1",
    "present(header[\"x-raw\"])",
    "present(header_bytes[\"x-raw\"])",
    "(cookie[\"user\"] ?? \"\") == \"7f3a\"",
    "present(cookie[\"user\"])",
    "(query[\"a\"] ?? \"\") == \"1\"",
    "(query[\"a b\"] ?? \"\") == \"\u{f1}\"",
    "present(query[\"a\"])",
    "len(query_all[\"a\"]) == 2",
    "\"2\" in query_all[\"a\"]",
    "(length ?? 0) > 100",
    "(length ?? 0) == 4",
    "present(length)",
    "(timeout ?? 0ms) >= 250ms",
    "(timeout ?? 1s) < 1s",
    "present(timeout)",
    "client in \"10.0.0.0/25\"",
    "client in [\"10.0.0.7\", \"::1\", \"10.0.0.128/25\"]",
    "hash(header[\"x-branch\"] ?? \"\", 100) < 50",
    "hash(path, 10) in [1, 3, 5, 7]",
    "hash(\"fixed\", 1000) == hash(\"fixed\", 1000)",
    "int(\"12\") ?? 0 == 12",
    "(int(header[\"x-pad\"] ?? \"\") ?? 7) == 7",
    "\"a\" in split(\"a,b\", \",\")",
    "(nth(split(header[\"x-list\"] ?? \"\", \",\"), 1) ?? \"\") == \"two\"",
    "len(split(path, \"/\")) > 2",
    "\"two\" in split(header[\"x-list\"] ?? \"\", \", \")",
    "concat(method, path) == \"4:POST5:/fees\"",
    "(concat(header[\"x-branch\"], \"x\") ?? \"\") == \"4:CR-71:x\"",
    "(int(query[\"a\"] ?? \"\") ?? 0) in [1, 2]",
    "1 < 2",
    "2ms == 2000us",
    "1min > 59s",
    "\"a\" != \"b\"",
    "method == \"POST\" and path starts_with \"/fees\" and present(header[\"x-branch\"])",
    "(method == \"POST\" or method == \"PUT\") and not (path == \"/\")",
    "lower(trim(header[\"x-pad\"] ?? \"\")) contains \"x\"",
    "lower(\"ABC\") == \"abc\"",
    "len(\"\u{f1}\") == 2",
];

/// A random request head.
fn random_head(random: &mut Pcg32) -> (Method, String, String, HeaderMap) {
    let pick = |random: &mut Pcg32, all: &[&'static str]| *all.choose(random).expect("some");
    let method: Method = pick(random, &["GET", "POST", "PUT", "HEAD"])
        .parse()
        .expect("a method");
    let path = pick(
        random,
        &[
            "/",
            "/fees",
            "/fees/7",
            "/fees/x/status",
            "/members/7",
            "/a//b",
            "/fees/99999999999999999999",
            "/b",
        ],
    );
    let query = pick(
        random,
        &[
            "",
            "a=1",
            "a=1&a=2",
            "a+b=%C3%B1",
            "a",
            "a=%31",
            "a=%zz&b",
            "%61=2&&",
            "a=%ff",
        ],
    );
    let mut headers = HeaderMap::new();
    let mut append_random = |random: &mut Pcg32, name: &'static str, values: &[&'static [u8]]| {
        for _ in 0..random.gen_range(0..3) {
            let value = *values.choose(random).expect("some");
            headers.append(
                HeaderName::from_static(name),
                HeaderValue::from_bytes(value).expect("a value"),
            );
        }
    };
    append_random(random, "x-branch", &[b"CR-7", b"cr-7", b"", b"PA-1"]);
    append_random(
        random,
        "x-pad",
        &[
            b" x ",
            b"X",
            b"7",
            b"-7",
            b"+7",
            b"9223372036854775808",
            b"\t",
        ],
    );
    append_random(random, "x-many", &[b"a", b"b", b"\xff", b"c"]);
    append_random(random, "x-raw", &[b"\xff", b"\xc3\xb1", b"a"]);
    append_random(random, "x-list", &[b"one,two", b"one, two", b",", b"two"]);
    append_random(
        random,
        "cookie",
        &[
            b"user=7f3a",
            b"a=1; user=7f3a",
            b"user=7f3a; user=8",
            b"user",
            b"users=1; user=",
            b" user=7f3a ;b",
        ],
    );
    append_random(
        random,
        "content-type",
        &[b"application/json", b"text/plain"],
    );
    append_random(random, "content-length", &[b"4", b"4096", b"x"]);
    append_random(
        random,
        "x-timeout",
        &[b"250m", b"100u", b"soon", b"m", b"9m"],
    );
    (method, path.to_owned(), query.to_owned(), headers)
}

fn is_equal(value: &Value<'_>, reference: &ReferenceValue) -> bool {
    match (value, reference) {
        (Value::Absent, ReferenceValue::Absent) => true,
        (Value::Bool(a), ReferenceValue::Bool(b)) => a == b,
        (Value::Int(a), ReferenceValue::Int(b))
        | (Value::Duration(a), ReferenceValue::Duration(b)) => a == b,
        (Value::Str(a), ReferenceValue::Str(b)) => *a == b.as_str(),
        _ => false,
    }
}

/// Evaluates single and combined conditions for 100,000 cases. All are compiled into one program, so that they share nodes.
/// The results are those of the reference evaluator, and no evaluation exceeds its bound.
#[test]
fn compiled_expressions_agree_with_the_reference_evaluator() {
    let mut random = Pcg32::seed_from_u64(7);
    let mut texts: Vec<String> = CONDITIONS.iter().map(|t| (*t).to_owned()).collect();
    while texts.len() < 250 {
        let (a, b) = (
            CONDITIONS.choose(&mut random).expect("some"),
            CONDITIONS.choose(&mut random).expect("some"),
        );
        let combined = match random.gen_range(0..3) {
            0 => format!("({a}) and ({b})"),
            1 => format!("({a}) or not ({b})"),
            _ => format!("not (({a}) and ({b})) or ({a})"),
        };
        // A combination that is never true is correctly rejected.
        if Builder::default()
            .add(&combined, ExpectedType::Condition)
            .is_ok()
        {
            texts.push(combined);
        }
    }
    let mut builder = Builder::default();
    let mut all = Vec::new();
    for text in &texts {
        let ast = parse(text).unwrap_or_else(|m| panic!("{text}: {m:?}"));
        match builder.add(text, ExpectedType::Any) {
            Ok(id) => all.push((text, ast, id, Builder::default())),
            Err(errors) => panic!("{text}: {errors:?}"),
        }
    }
    let bounds: Vec<u64> = all
        .iter()
        .map(|(_, _, id, _)| builder.cost(&[*id]))
        .collect();
    let program = builder.build();
    let mut cases = 0;
    while cases < 100_000 {
        let (method, path, query, headers) = random_head(&mut random);
        let client = std::net::IpAddr::from([10, 0, 0, random.gen()]);
        let head = Head {
            method: &method,
            path: &path,
            query: &query,
            headers: &headers,
            client,
        };
        let mut scratch = Scratch::default();
        for ((text, ast, id, _), bound) in all.iter().zip(&bounds) {
            let mut steps = Steps::default();
            let value = program.evaluate_with(*id, &head, &mut scratch, &mut steps);
            let expected = evaluate_reference(ast, &head);
            assert!(
                is_equal(&value, &expected),
                "{text}: {value:?}, expected {expected:?}, for {head:?}"
            );
            assert!(steps.0 <= *bound, "{text}: {} steps of {bound}", steps.0);
            cases += 1;
        }
    }
}

/// Invalid expressions, each with the text that its first error points at.
const INVALID: &[(&str, &str)] = &[
    ("header[\"x\"] == \"a\"", "header[\"x\"]"),
    ("\"a\" == header[\"x\"]", "header[\"x\"]"),
    ("header[\"x\"] starts_with \"a\"", "header[\"x\"]"),
    ("header[\"x\"] matches \"a\"", "header[\"x\"]"),
    ("header[\"x\"] in [\"a\"]", "header[\"x\"]"),
    ("lower(header[\"x\"]) == \"a\"", "header[\"x\"]"),
    ("cookie[\"x\"] != \"a\"", "cookie[\"x\"]"),
    ("query[\"x\"] contains \"a\"", "query[\"x\"]"),
    ("length > 5", "length"),
    ("timeout < 5s", "timeout"),
    ("client == \"10.0.0.1\"", "client == \"10.0.0.1\""),
    ("present(client)", "client"),
    ("client in \"ten\"", "\"ten\""),
    ("int(\"5\") == 5", "int(\"5\")"),
    ("nth(segments, 0) == \"a\"", "nth(segments, 0)"),
    ("len(header[\"x\"]) > 1", "header[\"x\"]"),
    ("method == 5", "method == 5"),
    ("method == 5ms", "method == 5ms"),
    ("path == true", "path == true"),
    ("len(path) == \"5\"", "len(path) == \"5\""),
    ("5 == 5ms", "5 == 5ms"),
    ("method < \"POST\"", "method < \"POST\""),
    ("true < false", "true < false"),
    ("segments == segments", "segments == segments"),
    ("method", "method"),
    ("header[\"x\"]", "header[\"x\"]"),
    ("not method", "method"),
    ("method and true", "method"),
    ("true or path", "path"),
    ("header[\"x\"] and true", "header[\"x\"]"),
    ("5", "5"),
    ("present(method)", "method"),
    ("method ?? \"GET\"", "method"),
    ("(header[\"x\"] ?? 5) == 5", "5"),
    ("(length ?? \"0\") == \"0\"", "\"0\""),
    ("lower(5) == \"5\"", "5"),
    ("lower(segments) == \"a\"", "segments"),
    ("len(5) == 1", "5"),
    ("int(5) ?? 0 == 5", "5"),
    ("split(path, 5) contains \"a\"", "5"),
    ("split(path, \"\") contains \"a\"", "\"\""),
    ("split(path, method) contains \"a\"", "method"),
    ("nth(path, 0) ?? \"\" == \"a\"", "path"),
    ("(nth(segments, 5000) ?? \"\") == \"a\"", "5000"),
    ("hash(path, 0) == 1", "0"),
    ("hash(path) == 1", "hash(path)"),
    ("concat() == \"\"", "concat()"),
    ("concat(segments) == \"\"", "segments"),
    ("upper(path) == \"A\"", "upper(path)"),
    ("metod == \"POST\"", "metod"),
    ("header == \"a\"", "header"),
    ("body[\"x\"] == \"a\"", "body[\"x\"]"),
    ("header[path] == \"a\"", "path"),
    ("present(header[\"a b\"])", "\"a b\""),
    ("method in []", "[]"),
    ("method in [5]", "5"),
    ("method in \"GET\"", "\"GET\""),
    ("len(path) in [\"5\"]", "\"5\""),
    ("[\"a\"] == [\"a\"]", "[\"a\"]"),
    ("path matches \"(\"", "\"(\""),
    ("path matches \"(a{1000}){1000}\"", "\"(a{1000}){1000}\""),
    ("path matches method", "method"),
    ("path matches \"(?=a)\"", "\"(?=a)\""),
    ("method == \"GET\" and false", "method == \"GET\" and false"),
    ("1 > 2", "1 > 2"),
    ("method = \"GET\"", "="),
    ("method == \"GET", "\"GET"),
    ("method == ", ""),
    ("== \"GET\"", "=="),
    ("(method == \"GET\"", ""),
    ("method == \"GET\")", ")"),
    ("method == \"GET\" path == \"/\"", "path"),
    ("1 < 2 < 3", "<"),
    ("and true", "and"),
    ("header[\"x\" == 5", ""),
    ("len(path) == 9999999999999999999", "9999999999999999999"),
    (
        "(timeout ?? 99999999999999999min) == 1s",
        "99999999999999999min",
    ),
    ("5 parsecs", "parsecs"),
    ("method == 'GET'", "'"),
    ("", ""),
];

/// Formats errors below the text that they point at.
fn format_errors(text: &str, errors: &[ExpressionError]) -> String {
    let mut output = format!("  {text}\n");
    for error in errors {
        let before = text[..error.span.start].chars().count();
        let marks = text
            .get(error.span.clone())
            .map_or(1, |t| t.chars().count().max(1));
        output += &format!(
            "  {}{}\n    {}\n    allowed: {}\n",
            " ".repeat(before),
            "^".repeat(marks),
            error.reason,
            error.allowed
        );
    }
    output
}

#[test]
fn invalid_expressions_are_rejected_at_the_invalid_text() {
    assert!(INVALID.len() >= 60);
    let mut output = String::new();
    for (text, expected) in INVALID {
        let errors = Builder::default()
            .add(text, ExpectedType::Condition)
            .expect_err(text);
        let first = &errors[0];
        assert!(
            text.get(first.span.clone()).is_some_and(|t| t == *expected) || expected.is_empty(),
            "{}",
            format_errors(text, &errors)
        );
        output += &format_errors(text, &errors);
    }
    insta::assert_snapshot!(output);
}

#[test]
fn several_errors_are_reported_at_once() {
    let text = "metod == \"POST\" and header[\"x\"] == 5 and lower(7) contains \"a\"";
    let errors = Builder::default()
        .add(text, ExpectedType::Condition)
        .expect_err("three errors");
    assert!(errors.len() >= 3, "{}", format_errors(text, &errors));
    let text = "method == and (path == ) or len( == 5";
    let errors = parse(text).expect_err("three errors");
    assert!(errors.len() >= 3, "{}", format_errors(text, &errors));
}

/// Nesting, length and the number of values are limited, and no expression overflows the stack.
#[test]
fn nesting_length_and_number_of_values_are_limited() {
    let nested = |depth: usize| format!("{}true{}", "(".repeat(depth), ")".repeat(depth));
    assert!(Builder::default()
        .add(&nested(crate::MAX_DEPTH - 1), ExpectedType::Condition)
        .is_ok());
    for text in [
        nested(crate::MAX_DEPTH + 1),
        nested(4_000),
        "(".repeat(8_000),
        "not ".repeat(2_000),
        "lower(".repeat(1_300),
    ] {
        assert!(Builder::default()
            .add(&text, ExpectedType::Condition)
            .is_err());
    }
    assert!(Builder::default()
        .add(
            &format!("{}true", "not ".repeat(2_000)),
            ExpectedType::Condition
        )
        .is_ok());
    let chain = |count: usize| vec!["client in \"::1\""; count].join(" or ");
    assert!(Builder::default()
        .add(&chain(200), ExpectedType::Condition)
        .is_ok());
    assert!(
        Builder::default()
            .add(&chain(500), ExpectedType::Condition)
            .is_err(),
        "too many values"
    );
    assert!(Builder::default()
        .add(
            &" ".repeat(crate::MAX_TEXT_BYTES + 1),
            ExpectedType::Condition
        )
        .is_err());
}

#[test]
fn concat_gives_different_keys_for_different_parts() {
    let key = |text: &str| {
        let mut builder = Builder::default();
        let id = builder.add(text, ExpectedType::Text).expect("a key");
        let (program, headers) = (builder.build(), HeaderMap::new());
        let head = Head {
            method: &Method::POST,
            path: "/",
            query: "",
            headers: &headers,
            client: [127, 0, 0, 1].into(),
        };
        program.evaluate(id, &head).display()
    };
    assert_ne!(key("concat(\"a\", \"bc\")"), key("concat(\"ab\", \"c\")"));
    assert_ne!(key("concat(\"a\", \"1:b\")"), key("concat(\"a1:b\")"));
    assert_eq!(
        key("concat(\"a\", header[\"x\"])"),
        "absent",
        "a key with an absent part is absent"
    );
    assert_eq!(key("concat(\"a\", 7)"), "\"1:a1:7\"");
}

/// The documented hash must never change.
#[test]
fn the_hash_is_stable() {
    assert_eq!(hash(b""), 0xefd0_1f60_ba99_2926);
    let sample = |n: u32| hash(n.to_string().as_bytes()) % 100;
    let counts = (0..100_000).fold([0_u32; 100], |mut counts, n| {
        counts[sample(n) as usize] += 1;
        counts
    });
    assert!(
        counts.iter().all(|c| (850..1_150).contains(c)),
        "an even sample: {counts:?}"
    );
}

/// Request heads of the largest size, adversarial to each kind of input, never need more steps than the bound.
#[test]
fn evaluation_of_the_largest_heads_stays_within_the_bound() {
    let size = crate::MAX_HEAD_BYTES as usize;
    let mut worst = Vec::new();
    let one = |name: &'static str, value: String| {
        HeaderMap::from_iter([(
            HeaderName::from_static(name),
            HeaderValue::from_bytes(value.as_bytes()).expect("a value"),
        )])
    };
    for unit in ["a", "A", ",", " ", "\u{f1}", "a=1;", "%41"] {
        for length in [16, 1_024, 2_048, size / unit.len() * unit.len()] {
            let value = unit.repeat(length / unit.len());
            ["x-branch", "x-pad", "x-list", "cookie", "x-raw"]
                .into_iter()
                .for_each(|n| worst.push(one(n, value.clone())));
        }
    }
    let mut many_values = HeaderMap::new();
    (0..1_000).for_each(|n| {
        many_values.append(
            "x-many",
            HeaderValue::from_str(&"m".repeat(n % 60)).expect("a value"),
        );
    });
    worst.push(many_values);
    let (path, query) = (format!("/{}", "a/".repeat(4_000)), "a=1&".repeat(255));
    for text in CONDITIONS {
        let mut builder = Builder::default();
        let Ok(id) = builder.add(text, ExpectedType::Any) else {
            panic!("{text}")
        };
        let bound = builder.cost(&[id]);
        let program = builder.build();
        assert!(bound <= STEP_BUDGET, "{text}: {bound}");
        for headers in &worst {
            let head = Head {
                method: &Method::POST,
                path: &path,
                query: &query,
                headers,
                client: [127, 0, 0, 1].into(),
            };
            let mut steps = Steps::default();
            program.evaluate_with(id, &head, &mut Scratch::default(), &mut steps);
            assert!(steps.0 <= bound, "{text}: {} steps of {bound}", steps.0);
        }
    }
}

/// A bounded, seeded run of the fuzz targets, with random bytes and with mutated expressions.
#[test]
fn arbitrary_bytes_are_parsed_and_evaluated_without_panics() {
    let mut random = Pcg32::seed_from_u64(9);
    let (mut parsed, mut evaluated) = (0, 0);
    for n in 0..30_000 {
        let mut data: Vec<u8> = match n % 3 {
            0 => (0..random.gen_range(0..80)).map(|_| random.gen()).collect(),
            _ => CONDITIONS
                .choose(&mut random)
                .expect("some")
                .as_bytes()
                .to_vec(),
        };
        for _ in 0..random.gen_range(0..4) {
            if data.is_empty() {
                break;
            }
            let at = random.gen_range(0..data.len());
            match random.gen_range(0..4) {
                0 => data[at] = random.gen(),
                1 => drop(data.remove(at)),
                2 => data.insert(at, *b"()[]\"=?<>,andor0".choose(&mut random).expect("some")),
                _ => {
                    let other = CONDITIONS.choose(&mut random).expect("some");
                    data.splice(at..at, other.bytes());
                }
            }
        }
        parsed += u32::from(harness::parse_any(&data));
        data.extend_from_slice(
            b"\0/fees/7?a=1&a=%ff\0x-branch:CR-7\0x-pad: \xff\0cookie:user=7f3a; user",
        );
        evaluated += u32::from(harness::evaluate_any(&data));
    }
    assert!(parsed > 1_000 && evaluated > 1_000, "{parsed} {evaluated}");
}

#[test]
fn a_request_that_satisfies_both_conditions_is_found() {
    let mut builder = Builder::default();
    let mut add = |text: &str| builder.add(text, ExpectedType::Condition).expect(text);
    let json =
        add("method == \"POST\" and (header[\"content-type\"] ?? \"\") == \"application/json\"");
    let branch =
        add("(header[\"x-branch\"] ?? \"\") starts_with \"CR-\" or present(query[\"branch\"])");
    let other = add("method == \"GET\"");
    let program = builder.build();
    let (paths, methods) = (["/fees".to_owned()], [Method::POST, Method::GET]);
    let found = crate::find_common_request(&program, (json, branch), &paths, &methods)
        .expect("a common request");
    assert!(
        found.display().contains("content-type: application/json"),
        "{}",
        found.display()
    );
    assert_eq!(
        crate::find_common_request(&program, (json, other), &paths, &methods),
        None
    );
}
