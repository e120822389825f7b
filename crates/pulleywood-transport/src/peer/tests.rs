//! Framing and size limits of messages between controllers.

use super::*;

#[test]
fn messages_larger_than_a_frame_are_split_and_those_over_the_limit_rejected() {
    // (bytes of text, expected frames; `None`: the message is rejected)
    let cases = [
        (10, Some(1)),
        (MAX_FRAME - 5, Some(1)),
        (MAX_FRAME, Some(2)),
        (MAX_FRAME * 5, Some(6)),
        (MAX_MESSAGE + 1, None),
    ];
    for (bytes, frames) in cases {
        let text = "x".repeat(bytes);
        let mut encoded = Vec::new();
        let written = write_message(&mut encoded, &text);
        assert_eq!(written.is_ok(), frames.is_some(), "{bytes} bytes");
        let Some(frames) = frames else { continue };
        let body_length = rmp_serde::to_vec(&text).unwrap().len();
        assert_eq!((encoded.len() - body_length) / 4, frames, "{bytes} bytes");
        let decoded: String = read_message(&mut &encoded[..]).unwrap();
        assert_eq!(decoded, text);
    }
    // The limit on a message also holds if each of its frames is within the limit on frames.
    let mut encoded = Vec::new();
    for _ in 0..=MAX_MESSAGE / MAX_FRAME {
        encoded.extend((MAX_FRAME as u32 | MORE_FRAMES).to_be_bytes());
        encoded.extend(vec![0; MAX_FRAME]);
    }
    assert!(read_message::<String>(&mut &encoded[..]).is_err());
}
