//! Shapes (of inputs) and the changes that fit them: a change that keeps most of an input's form gets deeper
//! into its reader than a flipped bit does.

use oorandom::Rand64;

/// How the bytes of an input are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    Json,
    Toml,
    /// Numbers of variable length, lengths before what they count, tags of variants (postcard).
    Packed,
    /// Several inputs of one shape, each behind its length: see `frames`.
    Frames(&'static Shape),
}

/// Numbers at the edges of their types and of their written lengths.
const EDGES: [u64; 20] = [
    0,
    1,
    2,
    5,
    63,
    64,
    127,
    128,
    255,
    256,
    16_383,
    16_384,
    65_535,
    1 << 20,
    1 << 27,
    u32::MAX as u64,
    1 << 32,
    i64::MAX as u64,
    1 << 63,
    u64::MAX,
];
const JSON_ODD: [&str; 27] = [
    "null",
    "true",
    "{}",
    "[]",
    "\"\"",
    "0",
    "-0",
    "-1",
    "1.0",
    "0.5",
    "1e999",
    "1e-999",
    "1e308",
    "4294967295",
    "4294967296",
    "9007199254740993",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775808",
    "\"\\ud800\"",
    "\"\\ud83d\\ude00\"",
    "\"\\udc00\\ud800\"",
    "\"\\u0000\"",
    "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\"",
    "\"ffffffff\"",
    "\"draining\"",
    "\"/\"",
];
const TOML_ODD: [&str; 20] = [
    "true",
    "false",
    "0",
    "1",
    "-1",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551615",
    "65536",
    "0.5",
    "1e308",
    "1e-300",
    "nan",
    "inf",
    "\"\"",
    "\"\\u0000\"",
    "[]",
    "{}",
    "1979-05-27T07:32:00Z",
    "\"255.255.255.255:65535\"",
];
/// The deepest nesting that is put in.
const DEEP: u64 = 2_000;

/// One changed input, of at most `most` bytes. `other` is what parts are taken over from.
pub fn changed(shape: Shape, chance: &mut Rand64, input: &[u8], other: &[u8], most: usize) -> Vec<u8> {
    let mut bytes = input.to_vec();
    let times = [1, 1, 2, 3][below(chance, 4)];
    for _ in 0..times {
        // One of eight without a regard for the shape: readers meet that too.
        bytes = if chance.rand_range(0..8) == 0 {
            raw(chance, bytes, other)
        } else {
            match shape {
                Shape::Json => json(chance, bytes, other),
                Shape::Toml => toml(chance, bytes, other),
                Shape::Packed => packed(chance, bytes, other),
                Shape::Frames(inner) => framed(*inner, chance, &bytes, other, most),
            }
        };
        bytes.truncate(most);
    }
    bytes
}

/// Changes as the readers' test made them before there were shapes: bytes flipped, cut, put in or doubled. Kept
/// as what guided play is measured against.
pub fn spoilt(chance: &mut Rand64, text: &[u8]) -> Vec<u8> {
    let mut bytes = text.to_vec();
    for _ in 0..chance.rand_range(1..4) {
        let at = below(chance, bytes.len().max(1));
        match chance.rand_range(0..4) {
            0 if at < bytes.len() => bytes[at] ^= 1 << chance.rand_range(0..8),
            1 => bytes.truncate(at),
            2 => bytes.insert(at.min(bytes.len()), chance.rand_range(0..256) as u8),
            _ => {
                let end = (at + below(chance, 16)).min(bytes.len());
                let again = bytes[at.min(end)..end].to_vec();
                bytes.extend(again);
            }
        }
    }
    bytes
}

/// Takes an input of several apart: each is behind its length, two bytes, little-endian; the last may be cut.
pub fn frames(input: &[u8]) -> Vec<&[u8]> {
    let mut found = Vec::new();
    let mut rest = input;
    while let Some(([low, high], after)) = rest.split_first_chunk::<2>() {
        let length = usize::from(u16::from_le_bytes([*low, *high])).min(after.len());
        let (frame, left) = after.split_at(length);
        found.push(frame);
        rest = left;
    }
    found
}

/// The opposite of `frames`; each is cut to 65,535 bytes.
pub fn joined<T: AsRef<[u8]>>(frames: impl IntoIterator<Item = T>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for frame in frames {
        let frame = frame.as_ref();
        let length = u16::try_from(frame.len()).unwrap_or(u16::MAX);
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&frame[..usize::from(length)]);
    }
    bytes
}

fn below(chance: &mut Rand64, end: usize) -> usize {
    chance.rand_range(0..end.max(1) as u64) as usize
}

fn one<'a, T>(chance: &mut Rand64, of: &'a [T]) -> Option<&'a T> {
    if of.is_empty() { None } else { of.get(below(chance, of.len())) }
}

/// A stretch of bytes, mostly short.
fn stretch(chance: &mut Rand64, bytes: &[u8]) -> std::ops::Range<usize> {
    let at = below(chance, bytes.len() + 1);
    let longest = if chance.rand_range(0..4) == 0 { bytes.len() } else { 12 };
    at..(at + below(chance, longest + 1)).min(bytes.len())
}

fn put(mut bytes: Vec<u8>, at: std::ops::Range<usize>, what: &[u8]) -> Vec<u8> {
    bytes.splice(at, what.iter().copied());
    bytes
}

fn raw(chance: &mut Rand64, mut bytes: Vec<u8>, other: &[u8]) -> Vec<u8> {
    let at = stretch(chance, &bytes);
    match chance.rand_range(0..6) {
        0 => {
            if let Some(byte) = bytes.get_mut(at.start) {
                *byte ^= 1 << chance.rand_range(0..8);
            }
            bytes
        }
        1 => {
            bytes.truncate(at.start);
            bytes
        }
        2 => put(bytes, at, &[]),
        3 => put(bytes, at.start..at.start, &[chance.rand_range(0..256) as u8]),
        4 => {
            let again = bytes[at.clone()].to_vec();
            put(bytes, at.end..at.end, &again)
        }
        _ => {
            let from = stretch(chance, other);
            put(bytes, at, &other[from])
        }
    }
}

// ---- JSON ----

/// Values and members (`"key":value`) of a JSON text, however broken it is.
#[derive(Default)]
struct Found {
    values: Vec<std::ops::Range<usize>>,
    members: Vec<std::ops::Range<usize>>,
}

fn found(text: &[u8]) -> Found {
    let mut found = Found::default();
    let mut open: Vec<usize> = Vec::new();
    // Where the key of the member under way began, by level.
    let mut keys: Vec<Option<usize>> = vec![None];
    let mut at = 0;
    while at < text.len() {
        let start = at;
        match text[at] {
            b'{' | b'[' => {
                open.push(at);
                keys.push(None);
                at += 1;
                continue;
            }
            b'}' | b']' => {
                at += 1;
                let Some(begun) = open.pop() else { continue };
                keys.pop();
                found.values.push(begun..at);
            }
            b'"' => {
                at += 1;
                while at < text.len() && text[at] != b'"' {
                    at += if text[at] == b'\\' { 2 } else { 1 };
                }
                at = (at + 1).min(text.len());
                let rest = text[at..].iter().position(|byte| !byte.is_ascii_whitespace());
                if rest.is_some_and(|rest| text[at + rest] == b':') {
                    if let Some(key) = keys.last_mut() {
                        *key = Some(start);
                    }
                    continue;
                }
                found.values.push(start..at);
            }
            byte if byte.is_ascii_alphanumeric() || byte == b'-' => {
                while at < text.len() && (text[at].is_ascii_alphanumeric() || b"+-.".contains(&text[at])) {
                    at += 1;
                }
                found.values.push(start..at);
            }
            _ => {
                at += 1;
                continue;
            }
        }
        if let Some(key) = keys.last_mut().and_then(Option::take) {
            found.members.push(key..at);
        }
    }
    found
}

fn json(chance: &mut Rand64, bytes: Vec<u8>, other: &[u8]) -> Vec<u8> {
    let here = found(&bytes);
    let Some(at) = one(chance, &here.values).cloned() else { return raw(chance, bytes, other) };
    match chance.rand_range(0..14) {
        0..=3 => match one(chance, &JSON_ODD) {
            Some(odd) => put(bytes, at, odd.as_bytes()),
            None => bytes,
        },
        4 => {
            let Some(with) = one(chance, &here.values) else { return bytes };
            let what = bytes[with.clone()].to_vec();
            put(bytes, at, &what)
        }
        // A member twice, or in another object.
        5 | 6 => {
            let Some(member) = one(chance, &here.members) else { return bytes };
            let mut what = bytes[member.clone()].to_vec();
            what.push(b',');
            let into = one(chance, &here.members).map_or(member.start, |member| member.start);
            put(bytes, into..into, &what)
        }
        7 => {
            let Some(member) = one(chance, &here.members).cloned() else { return bytes };
            let end = member.end + usize::from(bytes.get(member.end) == Some(&b','));
            put(bytes, member.start..end, &[])
        }
        8 => {
            let deep = [2, 31, 32, 33, 130, DEEP][below(chance, 6)] as usize;
            let (open, close) = if chance.rand_range(0..2) == 0 { ("[", "]") } else { ("{\"a\":", "}") };
            let inner = bytes[at.clone()].to_vec();
            let what = [open.repeat(deep).as_bytes(), &inner, close.repeat(deep).as_bytes()].concat();
            put(bytes, at, &what)
        }
        9 => {
            let length = [1, 80, 255, 256, 257, 5_000][below(chance, 6)];
            let fill = ["a", "\\u00e9", "\\n", "é", "😀"][below(chance, 5)];
            put(bytes, at, format!("\"{}\"", fill.repeat(length)).as_bytes())
        }
        // An element many times.
        10 => {
            let mut what = bytes[at.clone()].to_vec();
            what.push(b',');
            let times = [1, 2, 40][below(chance, 3)];
            put(bytes, at.start..at.start, &what.repeat(times))
        }
        11 => put(bytes, at, edge(chance).to_string().as_bytes()),
        // From another input: a value for a value, or a member beside a member.
        12 => {
            let there = found(other);
            match one(chance, &there.values) {
                Some(value) => put(bytes, at, &other[value.clone()]),
                None => bytes,
            }
        }
        _ => {
            let there = found(other);
            match (one(chance, &there.members), one(chance, &here.members)) {
                (Some(member), Some(into)) => {
                    let what = [&other[member.clone()], b","].concat();
                    put(bytes, into.start..into.start, &what)
                }
                _ => bytes,
            }
        }
    }
}

fn edge(chance: &mut Rand64) -> u64 {
    let edge = one(chance, &EDGES).copied().unwrap_or(0);
    match chance.rand_range(0..4) {
        0 => edge.wrapping_add(1),
        1 => edge.wrapping_sub(1),
        _ => edge,
    }
}

// ---- TOML ----

fn toml(chance: &mut Rand64, bytes: Vec<u8>, other: &[u8]) -> Vec<u8> {
    let mut lines: Vec<Vec<u8>> = bytes.split(|byte| *byte == b'\n').map(<[u8]>::to_vec).collect();
    let at = below(chance, lines.len());
    let value = lines[at].iter().position(|byte| *byte == b'=').map(|equals| equals + 1);
    match (chance.rand_range(0..9), value) {
        (0..=3, Some(value)) => {
            let odd = match chance.rand_range(0..8) {
                0 => format!("\"{}\"", "z".repeat([1, 253, 254, 5_000][below(chance, 4)])),
                1 => {
                    let deep = [3, 90, DEEP as usize][below(chance, 3)];
                    format!("{}1{}", "[".repeat(deep), "]".repeat(deep))
                }
                2 => edge(chance).to_string(),
                _ => one(chance, &TOML_ODD).copied().unwrap_or("0").to_owned(),
            };
            lines[at].truncate(value);
            lines[at].extend_from_slice(odd.as_bytes());
        }
        // Another line's value under this key.
        (4, Some(value)) => {
            let from = lines[below(chance, lines.len())].clone();
            if let Some(equals) = from.iter().position(|byte| *byte == b'=') {
                lines[at].truncate(value);
                lines[at].extend_from_slice(&from[equals + 1..]);
            }
        }
        (5, _) => {
            let again = lines[at].clone();
            lines.insert(below(chance, lines.len() + 1), again);
        }
        (6, _) => drop(lines.remove(at)),
        (7, Some(_)) if chance.rand_range(0..4) == 0 => {
            let deep = [2, 100, DEEP as usize][below(chance, 3)];
            lines[at].splice(0..0, "a.".repeat(deep).into_bytes());
        }
        _ => {
            let theirs: Vec<&[u8]> = other.split(|byte| *byte == b'\n').collect();
            if let Some(line) = one(chance, &theirs) {
                lines.insert(below(chance, lines.len() + 1), line.to_vec());
            }
        }
    }
    lines.join(&b'\n')
}

// ---- packed ----

fn varint(mut number: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        let low = (number & 0x7f) as u8;
        number >>= 7;
        bytes.push(if number > 0 { low | 0x80 } else { low });
        if number == 0 {
            return bytes;
        }
    }
}

fn packed(chance: &mut Rand64, mut bytes: Vec<u8>, other: &[u8]) -> Vec<u8> {
    let at = below(chance, bytes.len() + 1);
    // The number that stands there, as far as its bytes say that they go on.
    let end = bytes[at..].iter().position(|byte| byte & 0x80 == 0).map_or(bytes.len(), |last| at + last + 1);
    match chance.rand_range(0..10) {
        0..=2 => {
            let number = edge(chance);
            put(bytes, at..end, &varint(number))
        }
        3 => {
            // Longer than it need be, or than it may.
            let mut long = varint(edge(chance));
            if let Some(last) = long.last_mut() {
                *last |= 0x80;
            }
            long.extend(std::iter::repeat_n(0x80, below(chance, 9)));
            long.push(0);
            put(bytes, at..end, &long)
        }
        // The next tag, or a length off by one.
        4 | 5 => {
            if let Some(byte) = bytes.get_mut(at) {
                *byte =
                    if chance.rand_range(0..2) == 0 { byte.wrapping_add(1) } else { byte.wrapping_sub(1) };
            }
            bytes
        }
        6 => {
            let tag = chance.rand_range(0..8) as u8;
            put(bytes, at..end, &[tag])
        }
        7 => {
            let again = stretch(chance, &bytes);
            let what = bytes[again.clone()].to_vec();
            let times = [1, 2, 30][below(chance, 3)];
            put(bytes, again.end..again.end, &what.repeat(times))
        }
        8 => {
            let (here, from) = (stretch(chance, &bytes), stretch(chance, other));
            put(bytes, here, &other[from])
        }
        _ => raw(chance, bytes, other),
    }
}

// ---- several ----

fn framed(inner: Shape, chance: &mut Rand64, bytes: &[u8], other: &[u8], most: usize) -> Vec<u8> {
    let mut list: Vec<Vec<u8>> = frames(bytes).into_iter().map(<[u8]>::to_vec).collect();
    let theirs = frames(other);
    let Some(at) = (!list.is_empty()).then(|| below(chance, list.len())) else {
        return raw(chance, bytes.to_vec(), other);
    };
    match chance.rand_range(0..8) {
        0..=3 => {
            let with = one(chance, &theirs).copied().unwrap_or(&[]);
            list[at] = changed(inner, chance, &list[at], with, most);
        }
        4 => {
            let again = list[at].clone();
            list.insert(below(chance, list.len() + 1), again);
        }
        5 => drop(list.remove(at)),
        6 => {
            let with = below(chance, list.len());
            list.swap(at, with);
        }
        _ => {
            if let Some(frame) = one(chance, &theirs) {
                list.insert(below(chance, list.len() + 1), frame.to_vec());
            }
        }
    }
    joined(list)
}
