//! The language against a second evaluator: a plain walk over the tree, written without any of the compiled form's ideas.

use crate::ast::{Ast, Infix, Kind};
use crate::{harness, hash, parse, Builder, Head, Mistake, Scratch, Steps, Value, Wanted, BUDGET};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// A value as the plain walk has it.
#[derive(Clone, Debug, PartialEq)]
enum Plain {
    Absent,
    Bool(bool),
    Int(i64),
    Duration(i64),
    Str(String),
    Bytes(Vec<u8>),
    Ip(std::net::IpAddr),
    List(Vec<String>),
}

fn plain(ast: &Ast, head: &Head<'_>) -> Plain {
    let text = |v: Option<String>| v.map_or(Plain::Absent, Plain::Str);
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
        if head.query.len() > crate::PAIRS_BYTES {
            Vec::new()
        } else {
            all.collect::<Vec<_>>()
        }
    };
    let Ast { kind, .. } = ast;
    match kind {
        Kind::Bool(b) => Plain::Bool(*b),
        Kind::Int(n) => Plain::Int(*n),
        Kind::Duration(n) => Plain::Duration(*n),
        Kind::Str(t) => Plain::Str(t.clone()),
        Kind::Bytes(b) => Plain::Bytes(b.clone()),
        Kind::List(_) | Kind::Unknown => unreachable!("not by itself"),
        Kind::Name(name) => match name.as_str() {
            "method" => Plain::Str(head.method.to_string()),
            "path" => Plain::Str(head.path.to_owned()),
            "segments" => Plain::List(
                head.path
                    .split('/')
                    .skip(1)
                    .filter(|s| !s.is_empty())
                    .map(str::to_owned)
                    .collect(),
            ),
            "length" => only("content-length")
                .and_then(|v| String::from_utf8(v).ok()?.parse().ok())
                .map_or(Plain::Absent, Plain::Int),
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
                .map_or(Plain::Absent, Plain::Duration),
            "client" => Plain::Ip(head.client),
            other => unreachable!("{other}"),
        },
        Kind::Index(of, name) => {
            let Kind::Str(name) = &name.kind else {
                unreachable!("a written name")
            };
            match of.as_str() {
                "header" => text(only(name).and_then(|v| String::from_utf8(v).ok())),
                "header_bytes" => only(name).map_or(Plain::Absent, Plain::Bytes),
                "headers" => Plain::List(texts(name)),
                "cookie" => {
                    let all: Vec<String> = texts("cookie");
                    if all.iter().map(String::len).sum::<usize>() > crate::PAIRS_BYTES {
                        return Plain::Absent;
                    }
                    let found: Vec<String> = all
                        .iter()
                        .flat_map(|l| l.split(';'))
                        .filter_map(|p| p.trim().split_once('='))
                        .filter(|(n, _)| n == name)
                        .map(|(_, v)| v.to_owned())
                        .collect();
                    text(if found.len() == 1 {
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
                    text(if found.len() == 1 {
                        found.first().cloned()
                    } else {
                        None
                    })
                }
                _ => Plain::List(
                    pairs()
                        .into_iter()
                        .filter(|(n, _)| n == name)
                        .map(|p| p.1)
                        .collect(),
                ),
            }
        }
        Kind::Not(a) => Plain::Bool(plain(a, head) != Plain::Bool(true)),
        Kind::And(a, b) => {
            Plain::Bool(plain(a, head) == Plain::Bool(true) && plain(b, head) == Plain::Bool(true))
        }
        Kind::Or(a, b) => {
            Plain::Bool(plain(a, head) == Plain::Bool(true) || plain(b, head) == Plain::Bool(true))
        }
        Kind::Default(a, b) => match plain(a, head) {
            Plain::Absent => plain(b, head),
            other => other,
        },
        Kind::Call(name, parts) => call(name, parts, head),
        Kind::Infix(infix, a, b) => Plain::Bool(infix_holds(*infix, a, b, head)),
    }
}

fn call(name: &str, parts: &[Ast], head: &Head<'_>) -> Plain {
    let first = plain(&parts[0], head);
    match (name, first) {
        ("present", v) => Plain::Bool(v != Plain::Absent),
        ("lower", Plain::Str(t)) => Plain::Str(t.to_ascii_lowercase()),
        ("trim", Plain::Str(t)) => {
            Plain::Str(t.trim_matches(|c: char| c.is_ascii_whitespace()).to_owned())
        }
        ("int", Plain::Str(t)) => {
            let digits = t.strip_prefix('-').unwrap_or(&t);
            let good =
                !digits.is_empty() && t.len() <= 20 && digits.bytes().all(|b| b.is_ascii_digit());
            good.then(|| t.parse().ok())
                .flatten()
                .map_or(Plain::Absent, Plain::Int)
        }
        ("len", Plain::Str(t)) => Plain::Int(t.len() as i64),
        ("len", Plain::Bytes(b)) => Plain::Int(b.len() as i64),
        ("len", Plain::List(l)) => Plain::Int(l.len() as i64),
        ("split", Plain::Str(t)) => {
            let Kind::Str(separator) = &parts[1].kind else {
                unreachable!("written")
            };
            Plain::List(t.split(separator.as_str()).map(str::to_owned).collect())
        }
        ("nth", Plain::List(l)) => {
            let Kind::Int(place) = &parts[1].kind else {
                unreachable!("written")
            };
            l.get(*place as usize)
                .map_or(Plain::Absent, |t| Plain::Str(t.clone()))
        }
        ("hash", Plain::Str(t)) => {
            let Kind::Int(most) = &parts[1].kind else {
                unreachable!("written")
            };
            Plain::Int((hash(t.as_bytes()) % *most as u64) as i64)
        }
        ("concat", _) => {
            let mut key = String::new();
            for part in parts {
                let text = match plain(part, head) {
                    Plain::Str(t) => t,
                    Plain::Int(n) => n.to_string(),
                    _ => return Plain::Absent,
                };
                key += &format!("{}:{text}", text.len());
            }
            Plain::Str(key)
        }
        (name, value) => unreachable!("{name} of {value:?}"),
    }
}

fn infix_holds(infix: Infix, a: &Ast, b: &Ast, head: &Head<'_>) -> bool {
    let left = plain(a, head);
    if infix == Infix::In {
        if let Kind::List(all) = &b.kind {
            return match left {
                Plain::Ip(ip) => all.iter().any(|n| net(n, ip)),
                other => all.iter().any(|v| plain(v, head) == other),
            };
        }
        if let Plain::Ip(ip) = left {
            return net(b, ip);
        }
    }
    if infix == Infix::Matches {
        let (Plain::Str(text), Kind::Str(pattern)) = (&left, &b.kind) else {
            unreachable!("typed")
        };
        return text.len() <= crate::MATCH_BYTES
            && regex::Regex::new(pattern)
                .expect("a pattern")
                .is_match(text);
    }
    let right = plain(b, head);
    match (infix, &left, &right) {
        (Infix::Equal, a, b) => a == b,
        (Infix::Unequal, a, b) => a != b,
        (Infix::Less, Plain::Int(a), Plain::Int(b))
        | (Infix::Less, Plain::Duration(a), Plain::Duration(b)) => a < b,
        (Infix::LessEqual, Plain::Int(a), Plain::Int(b))
        | (Infix::LessEqual, Plain::Duration(a), Plain::Duration(b)) => a <= b,
        (Infix::Greater, Plain::Int(a), Plain::Int(b))
        | (Infix::Greater, Plain::Duration(a), Plain::Duration(b)) => a > b,
        (Infix::GreaterEqual, Plain::Int(a), Plain::Int(b))
        | (Infix::GreaterEqual, Plain::Duration(a), Plain::Duration(b)) => a >= b,
        (Infix::In, Plain::Str(a), Plain::List(b)) => b.contains(a),
        (Infix::StartsWith, Plain::Str(a), Plain::Str(b)) => a.starts_with(b.as_str()),
        (Infix::EndsWith, Plain::Str(a), Plain::Str(b)) => a.ends_with(b.as_str()),
        (Infix::Contains, Plain::Str(a), Plain::Str(b)) => a.contains(b.as_str()),
        (Infix::Contains, Plain::List(a), Plain::Str(b)) => a.contains(b),
        other => unreachable!("{other:?}"),
    }
}

fn net(ast: &Ast, ip: std::net::IpAddr) -> bool {
    let Kind::Str(text) = &ast.kind else {
        unreachable!("written")
    };
    match text.parse::<ipnet::IpNet>() {
        Ok(net) => net.contains(&ip),
        Err(_) => text.parse::<std::net::IpAddr>().expect("an address") == ip,
    }
}

/// Well-typed conditions; with what is joined out of them below, far more than a hundred.
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

/// Heads of all kinds.
fn some_head(random: &mut Pcg32) -> (Method, String, String, HeaderMap) {
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
    let mut put = |random: &mut Pcg32, name: &'static str, values: &[&'static [u8]]| {
        for _ in 0..random.gen_range(0..3) {
            let value = *values.choose(random).expect("some");
            headers.append(
                HeaderName::from_static(name),
                HeaderValue::from_bytes(value).expect("a value"),
            );
        }
    };
    put(random, "x-branch", &[b"CR-7", b"cr-7", b"", b"PA-1"]);
    put(
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
    put(random, "x-many", &[b"a", b"b", b"\xff", b"c"]);
    put(random, "x-raw", &[b"\xff", b"\xc3\xb1", b"a"]);
    put(random, "x-list", &[b"one,two", b"one, two", b",", b"two"]);
    put(
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
    put(
        random,
        "content-type",
        &[b"application/json", b"text/plain"],
    );
    put(random, "content-length", &[b"4", b"4096", b"x"]);
    put(
        random,
        "x-timeout",
        &[b"250m", b"100u", b"soon", b"m", b"9m"],
    );
    (method, path.to_owned(), query.to_owned(), headers)
}

fn same(value: &Value<'_>, plain: &Plain) -> bool {
    match (value, plain) {
        (Value::Absent, Plain::Absent) => true,
        (Value::Bool(a), Plain::Bool(b)) => a == b,
        (Value::Int(a), Plain::Int(b)) | (Value::Duration(a), Plain::Duration(b)) => a == b,
        (Value::Str(a), Plain::Str(b)) => *a == b.as_str(),
        _ => false,
    }
}

/// A hundred thousand requests, over single conditions and joined ones, all in one program so that parts are shared: no
/// difference from the plain walk, and never more steps than the bound.
#[test]
fn the_compiled_form_says_what_a_plain_walk_says() {
    let mut random = Pcg32::seed_from_u64(7);
    let mut texts: Vec<String> = CONDITIONS.iter().map(|t| (*t).to_owned()).collect();
    while texts.len() < 250 {
        let (a, b) = (
            CONDITIONS.choose(&mut random).expect("some"),
            CONDITIONS.choose(&mut random).expect("some"),
        );
        let joined = match random.gen_range(0..3) {
            0 => format!("({a}) and ({b})"),
            1 => format!("({a}) or not ({b})"),
            _ => format!("not (({a}) and ({b})) or ({a})"),
        };
        // One that no request meets is refused, which is right.
        if Builder::default().add(&joined, Wanted::Condition).is_ok() {
            texts.push(joined);
        }
    }
    let mut builder = Builder::default();
    let mut all = Vec::new();
    for text in &texts {
        let ast = parse(text).unwrap_or_else(|m| panic!("{text}: {m:?}"));
        match builder.add(text, Wanted::Any) {
            Ok(id) => all.push((text, ast, id, Builder::default())),
            Err(mistakes) => panic!("{text}: {mistakes:?}"),
        }
    }
    let bounds: Vec<u64> = all
        .iter()
        .map(|(_, _, id, _)| builder.cost(&[*id]))
        .collect();
    let program = builder.build();
    let mut cases = 0;
    while cases < 100_000 {
        let (method, path, query, headers) = some_head(&mut random);
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
            let wanted = plain(ast, &head);
            assert!(
                same(&value, &wanted),
                "{text}: {value:?}, plainly {wanted:?}, for {head:?}"
            );
            assert!(steps.0 <= *bound, "{text}: {} steps of {bound}", steps.0);
            cases += 1;
        }
    }
}

/// Expressions that are refused, each with the text that its mistake points at.
const REFUSED: &[(&str, &str)] = &[
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

fn underlined(text: &str, mistakes: &[Mistake]) -> String {
    let mut told = format!("  {text}\n");
    for mistake in mistakes {
        let before = text[..mistake.span.start].chars().count();
        let marks = text
            .get(mistake.span.clone())
            .map_or(1, |t| t.chars().count().max(1));
        told += &format!(
            "  {}{}\n    {}\n    allowed: {}\n",
            " ".repeat(before),
            "^".repeat(marks),
            mistake.reason,
            mistake.allowed
        );
    }
    told
}

#[test]
fn what_is_mistyped_is_refused_at_its_place() {
    assert!(REFUSED.len() >= 60);
    let mut told = String::new();
    for (text, place) in REFUSED {
        let mistakes = Builder::default()
            .add(text, Wanted::Condition)
            .expect_err(text);
        let first = &mistakes[0];
        assert!(
            text.get(first.span.clone()).is_some_and(|t| t == *place) || place.is_empty(),
            "{}",
            underlined(text, &mistakes)
        );
        told += &underlined(text, &mistakes);
    }
    insta::assert_snapshot!(told);
}

#[test]
fn several_mistakes_are_told_at_once() {
    let text = "metod == \"POST\" and header[\"x\"] == 5 and lower(7) contains \"a\"";
    let mistakes = Builder::default()
        .add(text, Wanted::Condition)
        .expect_err("three mistakes");
    assert!(mistakes.len() >= 3, "{}", underlined(text, &mistakes));
    let text = "method == and (path == ) or len( == 5";
    let mistakes = parse(text).expect_err("three mistakes");
    assert!(mistakes.len() >= 3, "{}", underlined(text, &mistakes));
}

/// Nesting and length have stated ends; up to them nothing overflows.
#[test]
fn nesting_is_bounded() {
    let nested = |depth: usize| format!("{}true{}", "(".repeat(depth), ")".repeat(depth));
    assert!(Builder::default()
        .add(&nested(crate::DEPTH_MOST - 1), Wanted::Condition)
        .is_ok());
    for text in [
        nested(crate::DEPTH_MOST + 1),
        nested(4_000),
        "(".repeat(8_000),
        "not ".repeat(2_000),
        "lower(".repeat(1_300),
    ] {
        assert!(Builder::default().add(&text, Wanted::Condition).is_err());
    }
    assert!(Builder::default()
        .add(&format!("{}true", "not ".repeat(2_000)), Wanted::Condition)
        .is_ok());
    let chain = |count: usize| vec!["client in \"::1\""; count].join(" or ");
    assert!(Builder::default()
        .add(&chain(200), Wanted::Condition)
        .is_ok());
    assert!(
        Builder::default()
            .add(&chain(500), Wanted::Condition)
            .is_err(),
        "too many values"
    );
    assert!(Builder::default()
        .add(&" ".repeat(crate::TEXT_MOST + 1), Wanted::Condition)
        .is_err());
}

#[test]
fn parts_of_a_key_are_kept_apart() {
    let key = |text: &str| {
        let mut builder = Builder::default();
        let id = builder.add(text, Wanted::Text).expect("a key");
        let (program, headers) = (builder.build(), HeaderMap::new());
        let head = Head {
            method: &Method::POST,
            path: "/",
            query: "",
            headers: &headers,
            client: [127, 0, 0, 1].into(),
        };
        program.evaluate(id, &head).show()
    };
    assert_ne!(key("concat(\"a\", \"bc\")"), key("concat(\"ab\", \"c\")"));
    assert_ne!(key("concat(\"a\", \"1:b\")"), key("concat(\"a1:b\")"));
    assert_eq!(
        key("concat(\"a\", header[\"x\"])"),
        "absent",
        "no key out of half of one"
    );
    assert_eq!(key("concat(\"a\", 7)"), "\"1:a1:7\"");
}

/// The stated hash never changes: these are its values.
#[test]
fn the_hash_is_stable() {
    assert_eq!(hash(b""), 0xefd0_1f60_ba99_2926);
    let of = |n: u32| hash(n.to_string().as_bytes()) % 100;
    let counts = (0..100_000).fold([0_u32; 100], |mut counts, n| {
        counts[of(n) as usize] += 1;
        counts
    });
    assert!(
        counts.iter().all(|c| (850..1_150).contains(c)),
        "an even sample: {counts:?}"
    );
}

/// Heads at their largest, made against each kind of input: the bound holds, counted in steps.
#[test]
fn the_bound_holds_over_the_largest_heads() {
    let size = crate::HEAD_BYTES as usize;
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
    let mut many = HeaderMap::new();
    (0..1_000).for_each(|n| {
        many.append(
            "x-many",
            HeaderValue::from_str(&"m".repeat(n % 60)).expect("a value"),
        );
    });
    worst.push(many);
    let (path, query) = (format!("/{}", "a/".repeat(4_000)), "a=1&".repeat(255));
    for text in CONDITIONS {
        let mut builder = Builder::default();
        let Ok(id) = builder.add(text, Wanted::Any) else {
            panic!("{text}")
        };
        let bound = builder.cost(&[id]);
        let program = builder.build();
        assert!(bound <= BUDGET, "{text}: {bound}");
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

/// A bounded, seeded run of what the fuzzer drives: any bytes, and expressions with bytes changed.
#[test]
fn no_bytes_do_harm() {
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
fn a_request_that_both_take_is_found() {
    let mut builder = Builder::default();
    let mut add = |text: &str| builder.add(text, Wanted::Condition).expect(text);
    let json =
        add("method == \"POST\" and (header[\"content-type\"] ?? \"\") == \"application/json\"");
    let branch =
        add("(header[\"x-branch\"] ?? \"\") starts_with \"CR-\" or present(query[\"branch\"])");
    let other = add("method == \"GET\"");
    let program = builder.build();
    let (paths, methods) = (["/fees".to_owned()], [Method::POST, Method::GET]);
    let found =
        crate::both(&program, (json, branch), &paths, &methods).expect("one that both take");
    assert!(
        found.show().contains("content-type: application/json"),
        "{}",
        found.show()
    );
    assert_eq!(crate::both(&program, (json, other), &paths, &methods), None);
}
