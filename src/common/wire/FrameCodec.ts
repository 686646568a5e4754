import { decode, encode } from "cbor-x";
import { Fault } from "../Fault.js";
import { FaultCode } from "../FaultCode.js";
import { findBodyFault } from "./findBodyFault.js";
import type { Message } from "./Message.js";

const LENGTH_BYTES = 4;

/**
 * Keepalive of an idle connection. Its frame has only 4 bytes, because an entry sends and receives one per second for
 * each agent.
 */
const ALIVE: Message = { kind: "alive" };

/** Maximum body size of a frame, in bytes. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/**
 * Number of received chunks above which they are joined, because each chunk has a memory overhead however small it is.
 */
const MAX_CHUNKS = 256;

/**
 * Splits a byte stream into frames (4-byte big-endian length, CBOR body) and encodes values as frames. An empty body is
 * the message `alive`.
 */
export class FrameCodec {
    private chunks: Buffer[] = [];
    private buffered = 0;

    constructor(
        /** Maximum body size accepted at present, in bytes. */
        private maxBodyBytes: number = MAX_FRAME_BYTES,
    ) {}

    /** Returns `value` as one frame; throws a `too_large` fault when it exceeds the frame limit. */
    public static encode(value: unknown): Buffer {
        const body = isAlive(value) ? Buffer.alloc(0) : encode(value);
        if (body.length > MAX_FRAME_BYTES) {
            throw new Fault(FaultCode.TooLarge, `frame of ${body.length} bytes exceeds ${MAX_FRAME_BYTES} bytes`);
        }
        const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
        frame.writeUInt32BE(body.length, 0);
        body.copy(frame, LENGTH_BYTES);
        return frame;
    }

    /** Accepts bodies up to the frame limit from now on. */
    public raiseBodyLimit(): void {
        this.maxBodyBytes = MAX_FRAME_BYTES;
    }

    /**
     * Appends received bytes and yields the values that are now complete; throws a `protocol` fault on malformed input.
     */
    public *push(chunk: Buffer): Generator<unknown, void> {
        this.append(chunk);
        for (let body = this.takeBody(); body !== undefined; body = this.takeBody()) {
            yield decodeBody(body);
        }
    }

    private append(chunk: Buffer): void {
        this.chunks.push(chunk);
        this.buffered += chunk.length;
        if (this.chunks.length > MAX_CHUNKS) {
            this.joinChunks();
        }
    }

    private takeBody(): Buffer | undefined {
        if (this.buffered < LENGTH_BYTES) {
            return undefined;
        }
        const length = this.peekLength();
        if (length > this.maxBodyBytes) {
            throw new Fault(FaultCode.Protocol, `frame of ${length} bytes exceeds ${this.maxBodyBytes} bytes`);
        }
        if (this.buffered < LENGTH_BYTES + length) {
            return undefined;
        }
        const bytes = this.joinChunks();
        const end = LENGTH_BYTES + length;
        this.chunks = end < bytes.length ? [bytes.subarray(end)] : [];
        this.buffered -= end;
        return bytes.subarray(LENGTH_BYTES, end);
    }

    private peekLength(): number {
        const first = this.chunks[0];
        return first !== undefined && first.length >= LENGTH_BYTES
            ? first.readUInt32BE(0)
            : this.joinChunks().readUInt32BE(0);
    }

    private joinChunks(): Buffer {
        const bytes = this.chunks.length === 1 && this.chunks[0] !== undefined
            ? this.chunks[0]
            : Buffer.concat(this.chunks);
        this.chunks = [bytes];
        return bytes;
    }
}

function isAlive(value: unknown): boolean {
    return typeof value === "object" && value !== null && "kind" in value && value.kind === ALIVE.kind;
}

function decodeBody(body: Buffer): unknown {
    if (body.length === 0) {
        return ALIVE;
    }
    const fault = findBodyFault(body);
    if (fault !== undefined) {
        throw new Fault(FaultCode.Protocol, `frame body is not a valid message: ${fault}`);
    }
    try {
        return decode(body);
    }
    catch {
        throw new Fault(FaultCode.Protocol, "frame body is not valid CBOR");
    }
}
