//! Relayed frames (RFC 6455, section 5): one direction of a session, received in pieces of any size.
//!
//! A [`FrameFilter`] holds back a frame's head, and a whole control frame, until it is complete and valid, so that no
//! part of an invalid head or control frame is forwarded. Payload of data frames is forwarded as it comes; nothing of it
//! is kept but up to three bytes of a split UTF-8 character.

use std::io::Cursor;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tungstenite::protocol::frame::FrameHeader;
use tungstenite::protocol::frame::coding::{CloseCode, Control, Data, OpCode};

/// The longest head of a frame, with an 8-byte length and a mask.
const MAX_HEAD_BYTES: usize = 14;
/// The longest payload of a control frame (RFC 6455, section 5.5).
const MAX_CONTROL_PAYLOAD_BYTES: usize = 125;
/// Bytes that are held back at most until a frame's head, or a whole control frame, is complete.
const MAX_HELD_BYTES: usize = MAX_HEAD_BYTES + MAX_CONTROL_PAYLOAD_BYTES;
/// The longest reason of a close frame: its payload without the close code.
const MAX_CLOSE_REASON_BYTES: usize = MAX_CONTROL_PAYLOAD_BYTES - 2;
/// Size of the buffer in which masked text is unmasked to be checked.
const UNMASK_CHUNK_BYTES: usize = 1024;

/// One end of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    Client,
    Server,
}

impl Side {
    /// Both sides, in the order of `Side as usize`.
    pub const BOTH: [Side; 2] = [Side::Client, Side::Server];

    /// The opposite side.
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// What is wrong with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It violates the protocol, as the text says.
    Protocol(&'static str),
    /// A text message or a close reason is not valid UTF-8.
    InvalidUtf8,
    /// The message is larger than allowed.
    TooLarge,
}

impl FrameError {
    /// The close code to report it by (RFC 6455, section 7.4.1).
    pub fn close_code(self) -> u16 {
        match self {
            FrameError::Protocol(_) => 1002,
            FrameError::InvalidUtf8 => 1007,
            FrameError::TooLarge => 1009,
        }
    }
}

/// Validates UTF-8 text that comes in pieces of any size.
#[derive(Default)]
struct Utf8Validator {
    /// The bytes of an incomplete character at the end of the last piece.
    incomplete: [u8; 4],
    incomplete_length: usize,
}

impl Utf8Validator {
    /// Takes the next piece. False once the text can't become valid any more.
    fn push(&mut self, mut data: &[u8]) -> bool {
        while self.incomplete_length > 0 && !data.is_empty() {
            self.incomplete[self.incomplete_length] = data[0];
            self.incomplete_length += 1;
            data = &data[1..];
            match std::str::from_utf8(&self.incomplete[..self.incomplete_length]) {
                Ok(_) => self.incomplete_length = 0,
                Err(error) if error.error_len().is_some() => return false,
                Err(_) => {}
            }
        }
        match std::str::from_utf8(data) {
            Ok(_) => true,
            Err(error) if error.error_len().is_some() => false,
            Err(error) => {
                let rest = &data[error.valid_up_to()..];
                self.incomplete[..rest.len()].copy_from_slice(rest);
                self.incomplete_length = rest.len();
                true
            }
        }
    }

    /// Whether the text so far ends with a whole character.
    fn is_complete(&self) -> bool {
        self.incomplete_length == 0
    }
}

/// A message that has begun and not ended yet.
struct Message {
    /// Whether its payload has to be valid UTF-8: an uncompressed text message.
    is_plain_text: bool,
    /// Payload bytes of all its frames so far, as announced in their heads.
    size: u64,
    /// The limit when it began, in bytes: a lowered one does not cut it off.
    allowed_at_start: u64,
}

/// What [`FrameFilter::feed`] makes of some input.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FeedResult {
    /// Bytes of earlier input that were held back and are to be forwarded now, ahead of this input.
    pub prefix: Vec<u8>,
    /// Number of bytes at the start of this input that are to be forwarded.
    pub accepted: usize,
    /// A close frame was received, with its close code if it has one.
    pub close_frame: Option<Option<u16>>,
    /// A part of a data message was received.
    pub message_data: bool,
    /// The end set by [`FrameFilter::end_after_message`] has just been reached; nothing is forwarded from here on.
    pub end_reached: bool,
    /// The input after the accepted bytes is invalid.
    pub error: Option<FrameError>,
}

/// The largest message that is allowed, in bytes as they are sent. Filters share it, so that a change holds for the
/// sessions that are open.
#[derive(Clone, Debug)]
pub struct MessageLimit(Arc<AtomicU64>);

impl MessageLimit {
    /// The limit in force now.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Changes the limit for all that share it.
    pub fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }
}

impl From<u64> for MessageLimit {
    fn from(bytes: u64) -> Self {
        MessageLimit(Arc::new(AtomicU64::new(bytes)))
    }
}

impl PartialEq for MessageLimit {
    fn eq(&self, other: &Self) -> bool {
        self.get() == other.get()
    }
}

/// Checks the frames of one direction of a session, and says which bytes to forward.
pub struct FrameFilter {
    from: Side,
    compressed: bool,
    message_limit: MessageLimit,
    /// The start of a frame's head or control frame, until it is complete.
    held: Vec<u8>,
    /// Payload bytes of the current data frame that are still to come.
    payload_remaining: u64,
    mask: Option<[u8; 4]>,
    /// Position in the mask of the next payload byte, from 0 to 3.
    mask_offset: usize,
    /// Whether the current data frame is the last one of its message.
    is_final_frame: bool,
    message: Option<Message>,
    utf8: Utf8Validator,
    /// Nothing is forwarded after the current message.
    ends: bool,
    /// Nothing is forwarded any more; a close frame is still reported.
    ended: bool,
    /// A close frame or an invalid frame was received: further input is ignored.
    finished: bool,
    /// A frame has been forwarded in part.
    frame_open: bool,
    /// A message has been forwarded in part.
    message_open: bool,
}

/// A frame's parsed head.
struct Head {
    header: FrameHeader,
    payload_length: u64,
    /// Bytes that the head itself takes, with its mask.
    head_length: usize,
}

impl FrameFilter {
    /// Checks the direction in which `from` sends. `compressed` says whether the handshake agreed on compression.
    pub fn new(from: Side, compressed: bool, message_limit: impl Into<MessageLimit>) -> Self {
        FrameFilter {
            from,
            compressed,
            message_limit: message_limit.into(),
            held: Vec::new(),
            payload_remaining: 0,
            mask: None,
            mask_offset: 0,
            is_final_frame: true,
            message: None,
            utf8: Utf8Validator::default(),
            ends: false,
            ended: false,
            finished: false,
            frame_open: false,
            message_open: false,
        }
    }

    /// Whether the forwarded bytes end with a frame, so that a control frame may be inserted here.
    pub fn at_frame_end(&self) -> bool {
        !self.frame_open
    }

    /// Whether the forwarded bytes end with a message.
    pub fn at_message_end(&self) -> bool {
        !self.frame_open && !self.message_open
    }

    /// Forwards nothing after the current message. True if there is none, so that the end is reached at once.
    pub fn end_after_message(&mut self) -> bool {
        self.ends = true;
        self.ended |= self.at_message_end();
        self.ended
    }

    /// Forwards nothing from now on.
    pub fn end_now(&mut self) {
        (self.ends, self.ended) = (true, true);
    }

    /// Takes the next input, of any size, and says which of its bytes are to be forwarded.
    pub fn feed(&mut self, input: &[u8]) -> FeedResult {
        let mut result = FeedResult::default();
        let mut position = 0;
        while position < input.len() && !self.finished {
            let was_ended = self.ended;
            let rest = &input[position..];
            let step = if self.payload_remaining > 0 {
                self.take_payload(rest, &mut result).map(|count| (count, true))
            } else {
                self.take_head(rest, &mut result).map(|count| (count, self.held.is_empty()))
            };
            match step {
                // Nothing after the end is forwarded, so an invalid frame there makes no difference.
                Err(_) if was_ended => self.finished = true,
                Err(error) => {
                    self.finished = true;
                    result.error = Some(error);
                }
                Ok((count, is_complete)) => {
                    position += count;
                    // A data frame's head is accepted with the payload behind it, which may turn out invalid.
                    let payload_follows = self.payload_remaining > 0 && position < input.len();
                    if is_complete && !was_ended && !payload_follows {
                        result.accepted = position;
                        self.frame_open = self.payload_remaining > 0;
                        self.message_open = self.message.is_some();
                    }
                }
            }
            if self.ends && !self.ended && self.at_message_end() {
                self.ended = true;
                result.end_reached = true;
            }
        }
        if result.accepted == 0 {
            result.prefix = Vec::new();
        }
        if self.finished {
            self.held = Vec::new();
        }
        result
    }

    /// Takes payload of the current data frame; returns the number of bytes taken.
    fn take_payload(&mut self, data: &[u8], result: &mut FeedResult) -> Result<usize, FrameError> {
        let count = (data.len() as u64).min(self.payload_remaining) as usize;
        let data = &data[..count];
        let is_plain_text = self.message.as_ref().is_some_and(|message| message.is_plain_text);
        if is_plain_text && !self.ended && !self.push_text(data) {
            return Err(FrameError::InvalidUtf8);
        }
        self.mask_offset = (self.mask_offset + count) & 3;
        result.message_data = true;
        self.payload_remaining -= count as u64;
        if self.payload_remaining == 0 {
            self.finish_frame()?;
        }
        Ok(count)
    }

    /// Unmasks text payload and validates it. False if it is not valid UTF-8.
    fn push_text(&mut self, data: &[u8]) -> bool {
        let Some(mask) = self.mask else { return self.utf8.push(data) };
        let mut buffer = [0; UNMASK_CHUNK_BYTES];
        let mut offset = self.mask_offset;
        data.chunks(buffer.len()).all(|chunk| {
            let plain = &mut buffer[..chunk.len()];
            plain.copy_from_slice(chunk);
            let rotated = [0, 1, 2, 3].map(|n| mask[(offset + n) & 3]);
            plain.iter_mut().enumerate().for_each(|(n, byte)| *byte ^= rotated[n & 3]);
            offset += chunk.len();
            self.utf8.push(plain)
        })
    }

    /// The current data frame is complete, and with a final frame its message.
    fn finish_frame(&mut self) -> Result<(), FrameError> {
        if self.is_final_frame {
            let is_plain_text = self.message.take().is_some_and(|message| message.is_plain_text);
            if is_plain_text && !std::mem::take(&mut self.utf8).is_complete() {
                return Err(FrameError::InvalidUtf8);
            }
        }
        Ok(())
    }

    /// Takes the head of a data frame, or a whole control frame, and holds it back while it is incomplete. Returns the
    /// number of bytes taken from `data`.
    fn take_head(&mut self, data: &[u8], result: &mut FeedResult) -> Result<usize, FrameError> {
        let held_before = self.held.len();
        let room = MAX_HELD_BYTES - held_before;
        let bytes = if held_before == 0 {
            data
        } else {
            self.held.extend_from_slice(&data[..data.len().min(room)]);
            &std::mem::take(&mut self.held)
        };
        let complete = match parse_head(bytes)? {
            None => None,
            Some(head) => {
                self.check_head(&head)?;
                let is_control = matches!(head.header.opcode, OpCode::Control(_));
                let length = head.head_length + if is_control { head.payload_length as usize } else { 0 };
                (length <= bytes.len()).then_some((head, length))
            }
        };
        let Some((head, length)) = complete else {
            // Longer input is never incomplete here, as this holds any head and any control frame.
            let count = bytes.len().min(MAX_HELD_BYTES);
            self.held = bytes[..count].to_vec();
            return Ok(count - held_before);
        };
        if held_before > 0 && !self.ended {
            result.prefix = bytes[..held_before].to_vec();
        }
        match head.header.opcode {
            OpCode::Control(Control::Close) => {
                let payload = &bytes[head.head_length..length];
                result.close_frame = Some(parse_close_code(payload, head.header.mask)?);
                self.finished = true;
            }
            OpCode::Control(_) => {}
            OpCode::Data(kind) => {
                self.begin_data_frame(kind, &head)?;
                result.message_data = true;
                if self.payload_remaining == 0 {
                    self.finish_frame()?;
                }
            }
        }
        Ok(length - held_before)
    }

    /// Begins a data frame, and a message unless the frame continues one.
    fn begin_data_frame(&mut self, kind: Data, head: &Head) -> Result<(), FrameError> {
        if kind != Data::Continue {
            let is_plain_text = kind == Data::Text && !head.header.rsv1;
            self.message =
                Some(Message { is_plain_text, size: 0, allowed_at_start: self.message_limit.get() });
        }
        let message = self.message.as_mut().ok_or(FrameError::Protocol(NOTHING_TO_CONTINUE))?;
        message.size = message.size.saturating_add(head.payload_length);
        if message.size > message.allowed_at_start.max(self.message_limit.get()) {
            return Err(FrameError::TooLarge);
        }
        (self.payload_remaining, self.is_final_frame) = (head.payload_length, head.header.is_final);
        (self.mask, self.mask_offset) = (head.header.mask, 0);
        Ok(())
    }

    /// Checks a head against the direction, the agreed extension and the message under way.
    fn check_head(&self, head: &Head) -> Result<(), FrameError> {
        let FrameHeader { is_final, rsv1, rsv2, rsv3, opcode, mask } = head.header;
        let invalid = |what| Err(FrameError::Protocol(what));
        if mask.is_some() != (self.from == Side::Client) {
            return invalid(if mask.is_some() {
                "server frame is masked"
            } else {
                "client frame is not masked"
            });
        }
        if rsv2 || rsv3 {
            return invalid("reserved bit 2 or 3 is set");
        }
        match opcode {
            OpCode::Control(_) if rsv1 => invalid("reserved bit is set in a control frame"),
            OpCode::Control(_) if !is_final => invalid("control frame is fragmented"),
            OpCode::Control(_) if head.payload_length > MAX_CONTROL_PAYLOAD_BYTES as u64 => {
                invalid("control frame has more than 125 bytes of payload")
            }
            OpCode::Control(_) => Ok(()),
            OpCode::Data(Data::Continue) if self.message.is_none() => invalid(NOTHING_TO_CONTINUE),
            OpCode::Data(Data::Continue) if rsv1 => invalid("reserved bit is set in a continuation frame"),
            OpCode::Data(Data::Continue) => Ok(()),
            OpCode::Data(_) if self.message.is_some() => invalid("message begins within another message"),
            OpCode::Data(_) if rsv1 && !self.compressed => {
                invalid("reserved bit 1 is set without agreed compression")
            }
            OpCode::Data(_) => Ok(()),
        }
    }
}

const NOTHING_TO_CONTINUE: &str = "continuation frame without a message to continue";

/// Parses a frame's head; `None` while a part of it is missing.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, FrameError> {
    let mut cursor = Cursor::new(bytes);
    let parsed = FrameHeader::parse(&mut cursor).map_err(|_| FrameError::Protocol("unknown opcode"))?;
    let Some((header, payload_length)) = parsed else { return Ok(None) };
    // The least value that needs the extended length field of 2 or 8 bytes.
    let least = match bytes[1] & 0x7f {
        126 => 126,
        127 => 0x1_0000,
        _ => 0,
    };
    if payload_length < least || payload_length > i64::MAX as u64 {
        return Err(FrameError::Protocol("payload length is not encoded in the shortest form"));
    }
    Ok(Some(Head { header, payload_length, head_length: cursor.position() as usize }))
}

/// Unmasks and checks the payload of a close frame; returns its close code if it has one.
fn parse_close_code(payload: &[u8], mask: Option<[u8; 4]>) -> Result<Option<u16>, FrameError> {
    let mask = mask.unwrap_or_default();
    let plain: Vec<u8> = payload.iter().enumerate().map(|(n, byte)| byte ^ mask[n & 3]).collect();
    match plain.as_slice() {
        [] => Ok(None),
        [_] => Err(FrameError::Protocol("close code is incomplete")),
        [high, low, reason @ ..] => {
            let code = u16::from_be_bytes([*high, *low]);
            if !CloseCode::from(code).is_allowed() {
                return Err(FrameError::Protocol("close code must not be sent"));
            }
            std::str::from_utf8(reason).map_err(|_| FrameError::InvalidUtf8)?;
            Ok(Some(code))
        }
    }
}

/// Builds a control frame; payload beyond the allowed length is cut off.
fn control_frame(kind: Control, payload: &[u8], mask: Option<[u8; 4]>) -> Vec<u8> {
    let payload = &payload[..payload.len().min(MAX_CONTROL_PAYLOAD_BYTES)];
    let header = FrameHeader { opcode: OpCode::Control(kind), mask, ..FrameHeader::default() };
    let mut frame = Vec::with_capacity(MAX_HELD_BYTES);
    // Writing to a vector can't fail.
    let _ = header.format(payload.len() as u64, &mut frame);
    let mask = mask.unwrap_or_default();
    frame.extend(payload.iter().enumerate().map(|(n, byte)| byte ^ mask[n & 3]));
    frame
}

/// Builds a close frame. `mask` is for frames that are sent to a server. A reason of more than 123 bytes is cut at the
/// end of a character.
pub fn close_frame(code: u16, reason: &str, mask: Option<[u8; 4]>) -> Vec<u8> {
    let longest = reason.len().min(MAX_CLOSE_REASON_BYTES);
    let end = (0..=longest).rev().find(|at| reason.is_char_boundary(*at)).unwrap_or(0);
    control_frame(Control::Close, &[&code.to_be_bytes(), &reason.as_bytes()[..end]].concat(), mask)
}

/// Builds a ping frame. `mask` is for frames that are sent to a server.
pub fn ping_frame(payload: &[u8], mask: Option<[u8; 4]>) -> Vec<u8> {
    control_frame(Control::Ping, payload, mask)
}
