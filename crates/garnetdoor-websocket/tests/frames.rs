//! One direction of a session: which bytes are forwarded however the input is split, and the error for each kind of
//! invalid frame.

use garnetdoor_websocket::frames::{
    FeedResult, FrameError, FrameFilter, MessageLimit, Side, close_frame, ping_frame,
};
use proptest::prelude::*;
use test_case::test_case;

const MAX_MESSAGE_BYTES: u64 = 1 << 20;

/// A frame with this first byte (final bit, reserved bits and opcode), masked if there is a mask.
fn frame(first_byte: u8, payload: &[u8], mask: Option<[u8; 4]>) -> Vec<u8> {
    let mask_bit = if mask.is_some() { 0x80 } else { 0 };
    let mut bytes = vec![first_byte];
    match payload.len() {
        small @ ..126 => bytes.push(mask_bit | small as u8),
        middle @ ..0x1_0000 => {
            bytes.push(mask_bit | 126);
            bytes.extend((middle as u16).to_be_bytes());
        }
        large => {
            bytes.push(mask_bit | 127);
            bytes.extend((large as u64).to_be_bytes());
        }
    }
    bytes.extend(mask.unwrap_or_default().iter().filter(|_| mask.is_some()));
    bytes.extend(payload.iter().enumerate().map(|(n, byte)| byte ^ mask.unwrap_or_default()[n & 3]));
    bytes
}

/// The bytes that are forwarded of all pieces, and the result of the last piece.
fn forwarded(filter: &mut FrameFilter, pieces: &[&[u8]]) -> (Vec<u8>, FeedResult) {
    let mut forwarded = Vec::new();
    let mut last = FeedResult::default();
    for piece in pieces {
        last = filter.feed(piece);
        forwarded.extend(&last.prefix);
        forwarded.extend(&piece[..last.accepted]);
    }
    (forwarded, last)
}

/// Valid messages: text in one and in two frames, with a ping in between, binary data and an empty text.
fn valid_messages(mask: Option<[u8; 4]>) -> Vec<u8> {
    [
        frame(0x81, "dance ü€𝄞".as_bytes(), mask),
        frame(0x01, b"in ", mask),
        frame(0x89, b"beside", mask),
        frame(0x80, "parts é".as_bytes(), mask),
        frame(0x82, &[0xff; 300], mask),
        frame(0x81, b"", mask),
    ]
    .concat()
}

#[test]
fn all_frames_are_forwarded_in_every_split_and_the_close_frame_is_reported() {
    for (side, mask) in [(Side::Client, Some([7, 1, 0xf3, 9])), (Side::Server, None)] {
        let all = [valid_messages(mask), close_frame(1001, "bye", mask)].concat();
        for at in 0..=all.len() {
            let (forwarded, last) =
                forwarded(&mut FrameFilter::new(side, false, MAX_MESSAGE_BYTES), &[&all[..at], &all[at..]]);
            assert_eq!(forwarded, all, "split at {at}");
            assert!(at == all.len() || last.close_frame == Some(Some(1001)));
        }
        let bytes: Vec<&[u8]> = all.chunks(1).collect();
        assert_eq!(forwarded(&mut FrameFilter::new(side, false, MAX_MESSAGE_BYTES), &bytes).0, all);
    }
}

#[test_case(&[0x83, 0x00], 1002; "an unknown opcode")]
#[test_case(&[0x8b, 0x00], 1002; "an unknown control opcode")]
#[test_case(&[0xc1, 0x00], 1002; "a reserved bit")]
#[test_case(&[0xa1, 0x00], 1002; "the second reserved bit")]
#[test_case(&[0x80, 0x00], 1002; "a continuation without a message")]
#[test_case(&[0x01, 0x01, b'a', 0x81, 0x00], 1002; "a message within another")]
#[test_case(&[0x09, 0x00], 1002; "a fragmented ping")]
#[test_case(&[0x89, 126, 0, 126], 1002; "a ping of 126 bytes")]
#[test_case(&[0x81, 126, 0, 9], 1002; "a length not in the shortest form")]
#[test_case(&[0x82, 127, 0x80, 0, 0, 0, 0, 0, 0, 0], 1002; "a length of 64 bits")]
#[test_case(&[0x88, 0x01, 3], 1002; "an incomplete close code")]
#[test_case(&[0x88, 0x02, 0x03, 0xed], 1002; "close code 1005")]
#[test_case(&[0x88, 0x02, 0x03, 0xec], 1002; "close code 1004")]
#[test_case(&[0x88, 0x02, 0x07, 0xd0], 1002; "close code 2000")]
#[test_case(&[0x88, 0x03, 0x03, 0xe8, 0xff], 1007; "a close reason that is not UTF-8")]
#[test_case(&[0x81, 0x02, 0xc3, 0x28], 1007; "text that is not UTF-8")]
#[test_case(&[0x81, 0x01, 0xc3], 1007; "text cut within a character")]
#[test_case(&[0x82, 127, 0, 0, 0, 0, 0, 0x20, 0, 0], 1009; "a message of 2 MB")]
#[test_case(&[0x81, 0x80, 0, 0, 0, 0], 1002; "a masked server frame")]
fn each_invalid_frame_is_reported_in_every_split_and_not_forwarded(invalid: &[u8], code: u16) {
    let valid = frame(0x81, b"before", None);
    let all = [&valid, invalid].concat();
    for at in 0..=all.len() {
        let mut filter = FrameFilter::new(Side::Server, false, MAX_MESSAGE_BYTES);
        let first = filter.feed(&all[..at]);
        let error = first.error.or_else(|| filter.feed(&all[at..]).error);
        assert_eq!(error.map(FrameError::close_code), Some(code), "split at {at}");
        assert!(filter.feed(&valid).accepted == 0, "nothing follows");
    }
    let mut filter = FrameFilter::new(Side::Server, false, MAX_MESSAGE_BYTES);
    let fed = filter.feed(&all);
    // The valid message before it is forwarded, and valid frames ahead of the invalid one, which here take up to 3 bytes.
    assert!(fed.accepted >= valid.len() && fed.accepted <= valid.len() + 3 && filter.at_frame_end());
}

#[test]
fn an_unmasked_client_frame_is_invalid() {
    let fed = FrameFilter::new(Side::Client, false, MAX_MESSAGE_BYTES).feed(&frame(0x81, b"bare", None));
    assert_eq!(fed.error, Some(FrameError::Protocol("client frame is not masked")));
}

#[test]
fn compressed_text_is_not_checked_as_utf8() {
    let compressed = frame(0xc1, &[0xff, 0xfe], None);
    assert_eq!(
        FrameFilter::new(Side::Server, true, MAX_MESSAGE_BYTES).feed(&compressed).accepted,
        compressed.len()
    );
    assert!(FrameFilter::new(Side::Server, false, MAX_MESSAGE_BYTES).feed(&compressed).error.is_some());
}

#[test]
fn the_message_size_counts_all_its_frames() {
    let first = frame(0x02, &[0; 600], None);
    let second = frame(0x00, &[0; 600], None);
    let mut filter = FrameFilter::new(Side::Server, false, 1000);
    assert_eq!(filter.feed(&first).error, None);
    assert_eq!(filter.feed(&second).error, Some(FrameError::TooLarge));
}

/// A filter in use goes by the newest limit. Guards against one that keeps the limit that it was made with.
#[test]
fn a_changed_message_limit_holds_for_the_next_message() {
    let limit = MessageLimit::from(1000);
    let mut filter = FrameFilter::new(Side::Server, false, limit.clone());
    let large = frame(0x82, &[0; 1200], None);
    limit.set(2000);
    assert_eq!(filter.feed(&large).error, None, "raised");
    assert_eq!(filter.feed(&frame(0x02, &[0; 600], None)).error, None);
    limit.set(1000);
    assert_eq!(filter.feed(&frame(0x80, &[0; 600], None)).error, None, "it began under the larger limit");
    assert_eq!(filter.feed(&large).error, Some(FrameError::TooLarge), "lowered");
}

#[test]
fn an_end_waits_for_the_current_message_and_a_later_close_is_still_reported() {
    let mut filter = FrameFilter::new(Side::Server, false, MAX_MESSAGE_BYTES);
    let first = frame(0x01, b"one ", None);
    let rest = frame(0x80, b"two", None);
    let next = frame(0x81, b"never", None);
    filter.feed(&first);
    assert!(!filter.end_after_message() && filter.at_frame_end() && !filter.at_message_end());
    let bytes = [rest.clone(), next, close_frame(1000, "", None)].concat();
    let fed = filter.feed(&bytes);
    assert_eq!((fed.accepted, fed.end_reached, fed.close_frame), (rest.len(), true, Some(Some(1000))));
    assert!(
        FrameFilter::new(Side::Server, false, MAX_MESSAGE_BYTES).end_after_message(),
        "the end is reached at once without a current message"
    );
}

#[test]
fn no_frame_may_be_inserted_within_another() {
    let mut filter = FrameFilter::new(Side::Server, false, MAX_MESSAGE_BYTES);
    let large = frame(0x82, &[1; 2000], None);
    filter.feed(&large[..100]);
    assert!(!filter.at_frame_end() && !filter.end_after_message());
    assert!(filter.feed(&large[100..]).end_reached && filter.at_message_end());
}

#[test]
fn generated_frames_are_valid() {
    for frame in [close_frame(1012, &"ü".repeat(100), Some([1, 2, 3, 4])), ping_frame(b"7", Some([9; 4]))] {
        let fed = FrameFilter::new(Side::Client, false, MAX_MESSAGE_BYTES).feed(&frame);
        assert_eq!((fed.accepted, fed.error), (frame.len(), None));
    }
}

proptest! {
    #[test]
    fn random_input_never_panics_and_little_is_held_back(bytes in proptest::collection::vec(any::<u8>(), 0..600),
        cuts in proptest::collection::vec(1usize..50, 1..40), client: bool, compressed: bool) {
        let side = if client { Side::Client } else { Side::Server };
        let mut filter = FrameFilter::new(side, compressed, MAX_MESSAGE_BYTES);
        let (mut rest, mut forwarded) = (bytes.as_slice(), Vec::new());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() { break; }
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            let fed = filter.feed(piece);
            prop_assert!(fed.prefix.len() < 140 && fed.accepted <= piece.len());
            forwarded.extend(fed.prefix);
            forwarded.extend(&piece[..fed.accepted]);
            rest = after;
        }
        // What is forwarded is the start of the input.
        prop_assert_eq!(&bytes[..forwarded.len()], &forwarded);
    }

    #[test]
    fn valid_messages_are_forwarded_whole_in_any_split(texts in proptest::collection::vec(".{0,80}", 1..8),
        mask: [u8; 4], cuts in proptest::collection::vec(1usize..200, 1..20)) {
        let all: Vec<u8> = texts.iter().flat_map(|text| frame(0x81, text.as_bytes(), Some(mask))).collect();
        let mut filter = FrameFilter::new(Side::Client, false, MAX_MESSAGE_BYTES);
        let (mut rest, mut forwarded) = (all.as_slice(), Vec::new());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() { break; }
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            let fed = filter.feed(piece);
            prop_assert_eq!(fed.error, None);
            forwarded.extend(fed.prefix);
            forwarded.extend(&piece[..fed.accepted]);
            rest = after;
        }
        prop_assert_eq!(forwarded, all);
    }
}
