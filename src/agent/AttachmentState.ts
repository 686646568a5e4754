/** State of an open connection to an entry. */
export type AttachmentState =
    /** Connected for membership only. */
    | "connected"
    /** `attach` sent, no answer yet. */
    | "attaching"
    | "attached"
    /** No new credits; closes when its running tasks are reported. */
    | "retiring";
