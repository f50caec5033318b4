//! Unit tests of `src/downstream/protocol_error.rs`, included there as the module `tests`.

use super::*;

#[test]
fn texts_sent_to_clients_are_unchanged() {
    let texts = [
        (ProtocolError::Frame(FrameError::Length), "a frame of such a length"),
        (ProtocolError::StreamReused, "a stream that is not new"),
        (ProtocolError::TooManyOpenRequests, "more requests than may be open"),
        (ProtocolError::TooManyInvalidRequests, "too many requests that can't be used"),
        (ProtocolError::NoRequest, "nothing was asked"),
        (ProtocolError::MessageTimeout, "a message that does not end"),
        (ProtocolError::PartialMessageAtShutdown, "half a message at the end"),
        (ProtocolError::PartialMessageEvicted, "half a message while places are short"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
