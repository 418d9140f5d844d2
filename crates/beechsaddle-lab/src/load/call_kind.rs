//! The `call_kind` module provides the kinds of calls that the load tool sends.

/// A kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// A chat whose answer is streamed.
    StreamedChat,
    /// A chat whose answer comes as a whole.
    WholeChat,
    /// A call to a plain service.
    Plain,
    /// A call to a plain service that may not be repeated.
    NotRepeatable,
}

impl CallKind {
    /// Every kind, in the order of the mix on the command line.
    pub const ALL: [CallKind; 4] = [
        CallKind::StreamedChat,
        CallKind::WholeChat,
        CallKind::Plain,
        CallKind::NotRepeatable,
    ];

    /// Whether an engine answers it.
    pub fn is_chat(self) -> bool {
        matches!(self, CallKind::StreamedChat | CallKind::WholeChat)
    }
}
