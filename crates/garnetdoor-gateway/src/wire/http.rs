//! HTTP/1.1 messages. Heads are parsed by `httparse`; bodies are framed by a length, in chunks, or by the end
//! of the connection.

use httparse::Status;

/// Largest body that is accepted.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest head that is accepted, up to and including its empty line.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Bytes that a connection may hold unread: a whole message and the framing of its chunks.
pub const MAX_UNREAD_BYTES: usize = 2 * (MAX_HEAD_BYTES + MAX_BODY_BYTES);
const MAX_HEADERS: usize = 64;
/// Interim responses (status 1xx) that may precede a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Why a message can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The header lines of a message, and what they say about its framing and its connection.
struct Headers {
    fields: Vec<(String, String)>,
    framing: Option<Framing>,
    close: bool,
    keep_alive: bool,
}

impl Headers {
    /// Whether the connection may carry another message: by default in HTTP/1.1, on request in HTTP/1.0.
    fn keeps_connection(&self, minor_version: Option<u8>) -> bool {
        !self.close && (minor_version == Some(1) || self.keep_alive)
    }
}

fn parse_headers(lines: &[httparse::Header]) -> Result<Headers, Fault> {
    let mut headers = Headers { fields: Vec::new(), framing: None, close: false, keep_alive: false };
    for line in lines {
        // Invalid UTF-8 in a header that is not used here must not make the message unreadable.
        let value = String::from_utf8_lossy(line.value);
        let value = value.trim();
        let name = line.name.to_ascii_lowercase();
        match name.as_str() {
            "content-length" => {
                let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
                let length = if is_number {
                    value.parse().unwrap_or(usize::MAX)
                } else {
                    return Err(Fault::Malformed);
                };
                if headers
                    .framing
                    .replace(Framing::Length(length))
                    .is_some_and(|old| old != Framing::Length(length))
                {
                    return Err(Fault::Malformed);
                }
            }
            "transfer-encoding" => {
                let is_chunked = value.eq_ignore_ascii_case("chunked");
                if !is_chunked || headers.framing.replace(Framing::Chunked).is_some() {
                    return Err(Fault::Malformed);
                }
            }
            "connection" => {
                let has_option =
                    |option| value.split(',').any(|part: &str| part.trim().eq_ignore_ascii_case(option));
                headers.close |= has_option("close");
                headers.keep_alive |= has_option("keep-alive");
            }
            _ => {}
        }
        headers.fields.push((name, value.to_owned()));
    }
    Ok(headers)
}

/// A completely read message.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Empty for a response.
    pub method: String,
    /// Empty for a response.
    pub target: String,
    /// 0 for a request.
    pub status: u16,
    fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the connection may carry another message.
    pub keep_alive: bool,
    /// The minor version, 1 for HTTP/1.1; set for requests only.
    pub minor_version: u8,
}

impl Message {
    /// All header lines as name and value, with names in lower case.
    pub fn fields(&self) -> &[(String, String)] {
        &self.fields
    }

    /// The value of a header, by its name in lower case; `None` also if the header occurs more than once.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.fields.iter().filter(|(field, _)| field == name);
        found.next().filter(|_| found.next().is_none()).map(|(_, value)| value.as_str())
    }
}

/// A message and the number of bytes that it takes; `None` while it is incomplete.
pub type ParseResult = Result<Option<(Message, usize)>, Fault>;

fn fault_of(error: httparse::Error) -> Fault {
    if error == httparse::Error::TooManyHeaders { Fault::HeadTooLarge } else { Fault::Malformed }
}

/// The length of a message's head in bytes; `None` while it is incomplete.
fn head_length(status: Status<usize>, data: &[u8]) -> Result<Option<usize>, Fault> {
    match status {
        Status::Complete(length) if length > MAX_HEAD_BYTES => Err(Fault::HeadTooLarge),
        Status::Complete(length) => Ok(Some(length)),
        Status::Partial if data.len() > MAX_HEAD_BYTES => Err(Fault::HeadTooLarge),
        Status::Partial => Ok(None),
    }
}

/// Parses a request, head and body.
pub fn parse_request(data: &[u8]) -> ParseResult {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut lines);
    let status = head.parse(data).map_err(fault_of)?;
    let Some(length) = head_length(status, data)? else { return Ok(None) };
    let headers = parse_headers(head.headers)?;
    let framing = headers.framing.unwrap_or(Framing::Length(0));
    let Some((body, body_length)) = parse_body(&data[length..], framing, false)? else {
        return Ok(None);
    };
    let keep_alive = headers.keeps_connection(head.version);
    let text = |part: Option<&str>| part.unwrap_or_default().to_owned();
    let (method, target) = (text(head.method), text(head.path));
    let minor_version = head.version.unwrap_or_default();
    let fields = headers.fields;
    let message = Message { method, target, status: 0, fields, body, keep_alive, minor_version };
    Ok(Some((message, length + body_length)))
}

/// Parses a response, and skips interim responses before it. `ended` says that the connection has ended, so
/// that no more bytes follow.
pub fn parse_response(data: &[u8], ended: bool) -> ParseResult {
    let mut parsed = 0;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let Some((mut message, framing, length)) = parse_response_head(&data[parsed..])? else {
            return Ok(None);
        };
        parsed += length;
        if (100..200).contains(&message.status) {
            continue;
        }
        message.keep_alive &= framing != Framing::UntilClose;
        let Some((body, body_length)) = parse_body(&data[parsed..], framing, ended)? else {
            return Ok(None);
        };
        message.body = body;
        return Ok(Some((message, parsed + body_length)));
    }
    Err(Fault::Malformed)
}

/// Parses the head of a 101 (Switching Protocols) response; `None` while it is incomplete, and for any other
/// response.
pub fn parse_switching_protocols(data: &[u8]) -> ParseResult {
    let mut parsed = 0;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let Some((message, _, length)) = parse_response_head(&data[parsed..])? else { return Ok(None) };
        parsed += length;
        match message.status {
            101 => return Ok(Some((message, parsed))),
            100..200 => {}
            _ => return Ok(None),
        }
    }
    Ok(None)
}

/// A copy of a response's head with the value of its load report overwritten by `?`; `None` if there is no
/// report. Without this, a load report that can't be parsed would make a good response unreadable, and fail
/// its request.
fn head_without_load_report(data: &[u8]) -> Option<Vec<u8>> {
    let name = b"\r\nsrv-load:";
    let start = data.windows(name.len()).position(|part| part.eq_ignore_ascii_case(name))? + name.len();
    let length = data[start..].windows(2).position(|end| end == b"\r\n")?;
    let head_end = data.windows(4).position(|end| end == b"\r\n\r\n").filter(|end| start <= *end)?;
    let mut head = data[..head_end + 4].to_vec();
    head[start..start + length].fill(b'?');
    Some(head)
}

/// The head of a response, the framing of its body, and the head's length in bytes; `None` while it is
/// incomplete.
fn parse_response_head(data: &[u8]) -> Result<Option<(Message, Framing, usize)>, Fault> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut lines);
    let status = match head.parse(data) {
        Ok(status) => status,
        Err(error) => match head_without_load_report(data) {
            Some(head) if head != data[..head.len()] => return parse_response_head(&head),
            _ => return Err(fault_of(error)),
        },
    };
    let Some(length) = head_length(status, data)? else { return Ok(None) };
    let headers = parse_headers(head.headers)?;
    let status = head.code.unwrap_or_default();
    let has_no_body = status < 200 || status == 204 || status == 304;
    let framing =
        if has_no_body { Framing::Length(0) } else { headers.framing.unwrap_or(Framing::UntilClose) };
    let keep_alive = headers.keeps_connection(head.version);
    let message = Message { status, fields: headers.fields, keep_alive, ..Message::default() };
    Ok(Some((message, framing, length)))
}

/// The status and the length in bytes of a stream's head; `None` while it is incomplete. A stream with status
/// 200 must be chunked.
fn parse_stream_head(data: &[u8]) -> Result<Option<(u16, usize)>, Fault> {
    Ok(match parse_response_head(data)? {
        Some((message, framing, _)) if message.status == 200 && framing != Framing::Chunked => {
            return Err(Fault::Malformed);
        }
        head => head.map(|(message, _, length)| (message.status, length)),
    })
}

/// A body, and the number of bytes that it takes with its framing; `None` while it is incomplete.
fn parse_body(data: &[u8], framing: Framing, ended: bool) -> Result<Option<(Vec<u8>, usize)>, Fault> {
    match framing {
        Framing::Length(length) if length > MAX_BODY_BYTES => Err(Fault::BodyTooLarge),
        Framing::Length(length) => Ok(data.get(..length).map(|body| (body.to_vec(), length))),
        Framing::UntilClose if data.len() > MAX_BODY_BYTES => Err(Fault::BodyTooLarge),
        Framing::UntilClose => Ok(ended.then(|| (data.to_vec(), data.len()))),
        Framing::Chunked => parse_chunked_body(data),
    }
}

fn parse_chunked_body(data: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Fault> {
    let (mut body, mut parsed) = (Vec::new(), 0);
    while let Some((chunk, length)) = parse_chunk(&data[parsed..])? {
        parsed += length;
        match chunk {
            Chunk::Last => return Ok(Some((body, parsed))),
            Chunk::Data(part) if body.len() + part.len() > MAX_BODY_BYTES => return Err(Fault::BodyTooLarge),
            Chunk::Data(part) => body.extend_from_slice(part),
        }
    }
    if data.len() > MAX_UNREAD_BYTES { Err(Fault::BodyTooLarge) } else { Ok(None) }
}

/// One chunk of a body.
enum Chunk<'a> {
    Data(&'a [u8]),
    /// The chunk of size 0, with the trailers after it.
    Last,
}

/// Parses one chunk; returns it with the number of bytes that it takes with its framing, or `None` while it
/// is incomplete.
fn parse_chunk(data: &[u8]) -> Result<Option<(Chunk<'_>, usize)>, Fault> {
    let (start, size) = match httparse::parse_chunk_size(data).map_err(|_| Fault::Malformed)? {
        Status::Complete(start_and_size) => start_and_size,
        Status::Partial if data.len() > MAX_HEAD_BYTES => return Err(Fault::Malformed),
        Status::Partial => return Ok(None),
    };
    if size == 0 {
        let mut line_start = start;
        while let Some(line_length) = data[line_start..].windows(2).position(|pair| pair == b"\r\n") {
            if line_length == 0 {
                return Ok(Some((Chunk::Last, line_start + 2)));
            }
            line_start += line_length + 2;
        }
        return if data.len() - start > MAX_HEAD_BYTES { Err(Fault::HeadTooLarge) } else { Ok(None) };
    }
    if size > MAX_UNREAD_BYTES as u64 {
        return Err(Fault::BodyTooLarge);
    }
    let end = start + size as usize;
    match data.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((Chunk::Data(&data[start..end]), end + 2))),
        Some(_) => Err(Fault::Malformed),
        None => Ok(None),
    }
}

/// The reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        426 => "Upgrade Required",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

/// The value of a name in a list of the form `name=value,name=value`.
pub fn list_value<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = list.split(',').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(field, _)| *field == name).map(|(_, value)| value)
}

/// Writes a response. `extra_headers` holds whole header lines; `last` announces the end of the connection.
pub fn write_response(status: u16, extra_headers: &str, body: &[u8], last: bool) -> Vec<u8> {
    let connection = if last { "Connection: close\r\n" } else { "" };
    let (reason, length) = (reason_phrase(status), body.len());
    let head =
        format!("HTTP/1.1 {status} {reason}\r\n{extra_headers}{connection}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// A chunked response that goes on for as long as its connection.
#[derive(Default)]
pub struct ChunkedStream {
    /// Whether its head has been read.
    started: bool,
    /// Text that was received and is not taken yet.
    pub text: Vec<u8>,
}

/// Why a stream ends.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It was answered with another status than 200.
    Refused,
    /// Its last chunk has come.
    LastChunk,
    Fault(Fault),
}

impl ChunkedStream {
    /// Adds all complete chunks in the data to `text`, and returns how many bytes of the data were used.
    pub fn feed(&mut self, data: &[u8]) -> Result<usize, StreamEnd> {
        let mut used = 0;
        if !self.started {
            match parse_stream_head(data).map_err(StreamEnd::Fault)? {
                None => return Ok(0),
                Some((200, length)) => used = length,
                Some(_) => return Err(StreamEnd::Refused),
            }
            self.started = true;
        }
        while let Some((chunk, length)) = parse_chunk(&data[used..]).map_err(StreamEnd::Fault)? {
            used += length;
            match chunk {
                Chunk::Data(part) => self.text.extend_from_slice(part),
                Chunk::Last => return Err(StreamEnd::LastChunk),
            }
            if self.text.len() > MAX_UNREAD_BYTES {
                return Err(StreamEnd::Fault(Fault::BodyTooLarge));
            }
        }
        Ok(used)
    }
}
