//! Frames as they pass (RFC 6455, section 5): one direction of a session, in any split.
//!
//! A [`FrameFilter`] holds back a frame's head, and a control frame, until it is whole and right, so that nothing of a
//! bad frame goes on; of a data frame's payload it keeps nothing but up to three bytes of a split character.

use std::io::Cursor;

use tungstenite::protocol::frame::FrameHeader;
use tungstenite::protocol::frame::coding::{CloseCode, Control, Data, OpCode};

/// The longest control frame: its head and mask, and 125 bytes.
const HELD_MOST: usize = 14 + 125;

/// One end of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    Client,
    Server,
}

impl Side {
    /// Both, in the order of their numbers.
    pub const BOTH: [Side; 2] = [Side::Client, Side::Server];

    /// The other one.
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// What is wrong with a frame, in words for a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It breaks the protocol.
    Protocol(&'static str),
    /// Text, or a close reason, that is not UTF-8.
    InvalidUtf8,
    /// A message is larger than allowed.
    TooLarge,
}

impl FrameError {
    /// The close code that tells it (RFC 6455, section 7.4.1).
    pub fn close_code(self) -> u16 {
        match self {
            FrameError::Protocol(_) => 1002,
            FrameError::InvalidUtf8 => 1007,
            FrameError::TooLarge => 1009,
        }
    }
}

/// Checks UTF-8 in any split.
#[derive(Default)]
struct Utf8 {
    part: [u8; 4],
    held: usize,
}

impl Utf8 {
    /// False once it can't become text any more.
    fn push(&mut self, mut data: &[u8]) -> bool {
        while self.held > 0 && !data.is_empty() {
            self.part[self.held] = data[0];
            self.held += 1;
            data = &data[1..];
            match std::str::from_utf8(&self.part[..self.held]) {
                Ok(_) => self.held = 0,
                Err(error) if error.error_len().is_some() => return false,
                Err(_) => {}
            }
        }
        match std::str::from_utf8(data) {
            Ok(_) => true,
            Err(error) if error.error_len().is_some() => false,
            Err(error) => {
                let rest = &data[error.valid_up_to()..];
                self.part[..rest.len()].copy_from_slice(rest);
                self.held = rest.len();
                true
            }
        }
    }
}

/// A message of which a part has come.
struct Message {
    /// Text that no compression hides.
    text: bool,
    size: u64,
}

/// What came of some bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FeedResult {
    /// Bytes held back before that go on now, ahead of the others.
    pub prefix: Vec<u8>,
    /// So many of the bytes fed go on.
    pub accepted: usize,
    /// A close frame is among them, with its code if it has one.
    pub close_frame: Option<Option<u16>>,
    /// Part of a message is among them.
    pub message_data: bool,
    /// The end that was asked for has just been reached; from here on nothing goes on.
    pub end_reached: bool,
    /// The bytes behind those that go on are bad.
    pub error: Option<FrameError>,
}

/// One direction of a session.
pub struct FrameFilter {
    from: Side,
    compressed: bool,
    max_message_bytes: u64,
    held: Vec<u8>,
    /// Payload bytes of the frame under way that are still to come.
    left: u64,
    mask: Option<[u8; 4]>,
    /// How far the mask is used.
    masked: usize,
    last: bool,
    message: Option<Message>,
    utf8: Utf8,
    /// Nothing goes on after the message under way.
    ends: bool,
    /// Nothing goes on any more; a close frame is still noticed.
    muted: bool,
    /// A close frame has come, or a bad one: the rest says nothing.
    over: bool,
    /// Of a frame, and of a message, a part has gone on and the rest has not.
    open: (bool, bool),
}

/// A frame's head as read, and the bytes that it takes.
struct Head {
    header: FrameHeader,
    payload: u64,
    size: usize,
}

impl FrameFilter {
    /// A direction in which `from` sends; `compressed` if that was agreed on; messages of up to `max_message_bytes`
    /// bytes as they are sent.
    pub fn new(from: Side, compressed: bool, max_message_bytes: u64) -> Self {
        FrameFilter {
            from,
            compressed,
            max_message_bytes,
            held: Vec::new(),
            left: 0,
            mask: None,
            masked: 0,
            last: true,
            message: None,
            utf8: Utf8::default(),
            ends: false,
            muted: false,
            over: false,
            open: (false, false),
        }
    }

    /// Whether a frame of another's may be put in here: what went on so far ends with a frame.
    pub fn at_frame_end(&self) -> bool {
        !self.open.0
    }

    /// Whether what went on so far ends with a message.
    pub fn at_message_end(&self) -> bool {
        self.open == (false, false)
    }

    /// Lets nothing go on after the message under way. True if none is: the end is reached at once.
    pub fn end_after_message(&mut self) -> bool {
        self.ends = true;
        self.muted |= self.at_message_end();
        self.muted
    }

    /// Lets nothing go on from now on.
    pub fn end_now(&mut self) {
        (self.ends, self.muted) = (true, true);
    }

    /// Takes bytes in any split and tells which go on.
    pub fn feed(&mut self, input: &[u8]) -> FeedResult {
        let mut fed = FeedResult::default();
        let mut at = 0;
        while at < input.len() && !self.over {
            let muted = self.muted;
            let step = if self.left > 0 {
                self.payload(&input[at..], &mut fed).map(|count| (count, true))
            } else {
                self.frame(&input[at..], &mut fed).map(|count| (count, self.held.is_empty()))
            };
            match step {
                // What was bad after the end makes no difference.
                Err(_) if muted => self.over = true,
                Err(fault) => {
                    self.over = true;
                    fed.error = Some(fault);
                }
                Ok((count, whole)) => {
                    at += count;
                    // A data frame's head goes on with its payload, which may be bad.
                    if whole && !muted && (self.left == 0 || at == input.len()) {
                        fed.accepted = at;
                        self.open = (self.left > 0, self.message.is_some());
                    }
                }
            }
            if self.ends && !self.muted && self.at_message_end() {
                self.muted = true;
                fed.end_reached = true;
            }
        }
        if fed.accepted == 0 {
            fed.prefix = Vec::new();
        }
        if self.over {
            self.held = Vec::new();
        }
        fed
    }

    /// Takes payload of the data frame under way; returns how much that is.
    fn payload(&mut self, data: &[u8], fed: &mut FeedResult) -> Result<usize, FrameError> {
        let count = (data.len() as u64).min(self.left) as usize;
        let data = &data[..count];
        let text = self.message.as_ref().is_some_and(|message| message.text);
        if text && !self.muted && !self.is_text(data) {
            return Err(FrameError::InvalidUtf8);
        }
        self.masked = (self.masked + count) & 3;
        fed.message_data = true;
        self.left -= count as u64;
        if self.left == 0 {
            self.frame_over()?;
        }
        Ok(count)
    }

    fn is_text(&mut self, data: &[u8]) -> bool {
        let Some(mask) = self.mask else { return self.utf8.push(data) };
        let mut plain = [0; 1024];
        let mut at = self.masked;
        data.chunks(plain.len()).all(|chunk| {
            let plain = &mut plain[..chunk.len()];
            plain.copy_from_slice(chunk);
            let mask = [mask[at & 3], mask[(at + 1) & 3], mask[(at + 2) & 3], mask[(at + 3) & 3]];
            plain.iter_mut().enumerate().for_each(|(n, byte)| *byte ^= mask[n & 3]);
            at += chunk.len();
            self.utf8.push(plain)
        })
    }

    fn frame_over(&mut self) -> Result<(), FrameError> {
        if self.last {
            let text = self.message.take().is_some_and(|message| message.text);
            if text && std::mem::take(&mut self.utf8).held > 0 {
                return Err(FrameError::InvalidUtf8);
            }
        }
        Ok(())
    }

    /// Takes the bytes of a data frame's head, or of a whole control frame; holds what is not whole yet.
    fn frame(&mut self, data: &[u8], fed: &mut FeedResult) -> Result<usize, FrameError> {
        let before = self.held.len();
        let room = HELD_MOST - before;
        let bytes = if before == 0 {
            data
        } else {
            self.held.extend_from_slice(&data[..data.len().min(room)]);
            &std::mem::take(&mut self.held)
        };
        let whole = match head(bytes)? {
            None => None,
            Some(head) => {
                self.check(&head)?;
                let control = matches!(head.header.opcode, OpCode::Control(_));
                let size = head.size + if control { head.payload as usize } else { 0 };
                (size <= bytes.len()).then_some((head, size))
            }
        };
        let Some((head, size)) = whole else {
            // Not longer than a control frame: a longer head can't be incomplete.
            let count = bytes.len().min(HELD_MOST);
            self.held = bytes[..count].to_vec();
            return Ok(count - before);
        };
        if before > 0 && !self.muted {
            fed.prefix = bytes[..before].to_vec();
        }
        match head.header.opcode {
            OpCode::Control(control) => {
                if control == Control::Close {
                    fed.close_frame = Some(close_code(&bytes[head.size..size], head.header.mask)?);
                    self.over = true;
                }
            }
            OpCode::Data(kind) => {
                if kind != Data::Continue {
                    let text = kind == Data::Text && !head.header.rsv1;
                    self.message = Some(Message { text, size: 0 });
                }
                let message = self.message.as_mut().ok_or(FrameError::Protocol("nothing to continue"))?;
                message.size = message.size.saturating_add(head.payload);
                if message.size > self.max_message_bytes {
                    return Err(FrameError::TooLarge);
                }
                fed.message_data = true;
                (self.left, self.last) = (head.payload, head.header.is_final);
                (self.mask, self.masked) = (head.header.mask, 0);
                if self.left == 0 {
                    self.frame_over()?;
                }
            }
        }
        Ok(size - before)
    }

    fn check(&self, head: &Head) -> Result<(), FrameError> {
        let FrameHeader { is_final, rsv1, rsv2, rsv3, opcode, mask } = head.header;
        let broken = |what| Err(FrameError::Protocol(what));
        if mask.is_some() != (self.from == Side::Client) {
            return broken(if mask.is_some() { "a server's frame is masked" } else { "not masked" });
        }
        if rsv2 || rsv3 {
            return broken("a reserved bit");
        }
        match opcode {
            OpCode::Control(_) if rsv1 => broken("a reserved bit in a control frame"),
            OpCode::Control(_) if !is_final => broken("a control frame in parts"),
            OpCode::Control(_) if head.payload > 125 => broken("a control frame of over 125 bytes"),
            OpCode::Control(_) => Ok(()),
            OpCode::Data(Data::Continue) if self.message.is_none() => broken("nothing to continue"),
            OpCode::Data(Data::Continue) if rsv1 => broken("a reserved bit in a continuation"),
            OpCode::Data(Data::Continue) => Ok(()),
            OpCode::Data(_) if self.message.is_some() => broken("a new message within another"),
            OpCode::Data(_) if rsv1 && !self.compressed => broken("a reserved bit with nothing agreed"),
            OpCode::Data(_) => Ok(()),
        }
    }
}

/// Reads a frame's head; `None` while a part is missing.
fn head(bytes: &[u8]) -> Result<Option<Head>, FrameError> {
    let mut cursor = Cursor::new(bytes);
    let read = FrameHeader::parse(&mut cursor).map_err(|_| FrameError::Protocol("an unknown opcode"))?;
    let Some((header, payload)) = read else { return Ok(None) };
    let least = match bytes[1] & 0x7f {
        126 => 126,
        127 => 0x1_0000,
        _ => 0,
    };
    if payload < least || payload > i64::MAX as u64 {
        return Err(FrameError::Protocol("a length not in its shortest form"));
    }
    Ok(Some(Head { header, payload, size: cursor.position() as usize }))
}

/// The code of a close frame's payload, checked.
fn close_code(payload: &[u8], mask: Option<[u8; 4]>) -> Result<Option<u16>, FrameError> {
    let mask = mask.unwrap_or_default();
    let plain: Vec<u8> = payload.iter().enumerate().map(|(n, byte)| byte ^ mask[n & 3]).collect();
    match plain.as_slice() {
        [] => Ok(None),
        [_] => Err(FrameError::Protocol("half a close code")),
        [high, low, reason @ ..] => {
            let code = u16::from_be_bytes([*high, *low]);
            if !CloseCode::from(code).is_allowed() {
                return Err(FrameError::Protocol("a close code that is never sent"));
            }
            std::str::from_utf8(reason).map_err(|_| FrameError::InvalidUtf8)?;
            Ok(Some(code))
        }
    }
}

fn control(kind: Control, payload: &[u8], mask: Option<[u8; 4]>) -> Vec<u8> {
    let payload = &payload[..payload.len().min(125)];
    let header = FrameHeader { opcode: OpCode::Control(kind), mask, ..FrameHeader::default() };
    let mut frame = Vec::with_capacity(HELD_MOST);
    // Writing to a vector can't fail.
    let _ = header.format(payload.len() as u64, &mut frame);
    let mask = mask.unwrap_or_default();
    frame.extend(payload.iter().enumerate().map(|(n, byte)| byte ^ mask[n & 3]));
    frame
}

/// A close frame; masked if a client sends it. The reason is cut at 123 bytes, at a character's end.
pub fn close_frame(code: u16, reason: &str, mask: Option<[u8; 4]>) -> Vec<u8> {
    let cut = (0..=reason.len().min(123)).rev().find(|at| reason.is_char_boundary(*at)).unwrap_or(0);
    control(Control::Close, &[&code.to_be_bytes(), &reason.as_bytes()[..cut]].concat(), mask)
}

/// A ping; masked if a client sends it.
pub fn ping_frame(payload: &[u8], mask: Option<[u8; 4]>) -> Vec<u8> {
    control(Control::Ping, payload, mask)
}
