//! The `call_kind` module provides the kinds of calls that the load tool sends.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// A chat with a streamed response.
    StreamedChat,
    /// A chat with a buffered response.
    WholeChat,
    /// A call to a plain service.
    Plain,
    /// A call to a plain service that must not be repeated.
    NotRepeatable,
}

impl CallKind {
    /// All kinds, in the order of the weights of `--mix`.
    pub const ALL: [CallKind; 4] = [
        CallKind::StreamedChat,
        CallKind::WholeChat,
        CallKind::Plain,
        CallKind::NotRepeatable,
    ];

    /// Whether calls of this kind go to an engine.
    pub fn is_chat(self) -> bool {
        matches!(self, CallKind::StreamedChat | CallKind::WholeChat)
    }
}
