/** State of an open connection to an entry. */
export type AttachmentState =
    /** Connected for membership only. */
    | "connected"
    /** `attach` sent, no response yet. */
    | "attaching"
    | "attached"
    /** No new credits; the connection closes once its running tasks are reported. */
    | "retiring";
