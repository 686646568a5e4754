/** Version of the protocol between processes; peers of another version are refused. */
export const WIRE_VERSION = 1;
