import { decode, encode } from "cbor-x";
import { createHmac, timingSafeEqual } from "node:crypto";
import { type Either, Left, Right } from "purify-ts/Either";
import { Fault } from "../Fault.js";
import { FaultCode } from "../FaultCode.js";
import type { Ticket } from "./Ticket.js";

const MAC_BYTES = 16;
const MAX_TICKET_CHARS = 8192;
const MAX_TICKET_AGENTS = 64;
const INCARNATION_PATTERN = /^[0-9a-f]{16}$/;
const ADDRESS_PATTERN = /^[0-9.]+:[0-9]{1,5}$/;

/** Encodes tickets as signed base64url strings and checks them when they come back. */
export class TicketCodec {
    constructor(private readonly secret: string) {}

    public encode(ticket: Ticket): string {
        const agents = ticket.agents.map(agent => [agent.address, Buffer.from(agent.incarnation, "hex")]);
        const body = encode([
            Buffer.from(ticket.issuer, "hex"),
            ticket.address,
            ticket.sequence,
            ticket.service,
            ticket.team,
            agents,
        ]);
        return Buffer.concat([this.mac(body), body]).toString("base64url");
    }

    /** Returns the ticket, or a fault when this deployment has not signed the string. */
    public decode(text: string): Either<Fault, Ticket> {
        if (text.length > MAX_TICKET_CHARS) {
            return Left(invalid(`ticket is longer than ${MAX_TICKET_CHARS} characters`));
        }
        const bytes = Buffer.from(text, "base64url");
        if (bytes.toString("base64url") !== text) {
            return Left(invalid("ticket is not in canonical base64url form"));
        }
        const body = bytes.subarray(MAC_BYTES);
        if (body.length === 0 || !timingSafeEqual(this.mac(body), bytes.subarray(0, MAC_BYTES))) {
            return Left(invalid("ticket signature does not match the secret of the deployment"));
        }
        try {
            return toTicket(decode(body));
        }
        catch {
            return Left(invalid("ticket body cannot be decoded"));
        }
    }

    private mac(body: Uint8Array): Buffer {
        return createHmac("sha256", this.secret).update(body).digest().subarray(0, MAC_BYTES);
    }
}

function invalid(message: string): Fault {
    return new Fault(FaultCode.TicketInvalid, message);
}

function toTicket(value: unknown): Either<Fault, Ticket> {
    if (!Array.isArray(value) || value.length !== 6) {
        return Left(invalid("ticket body is not a list of 6 fields"));
    }
    const [issuerBytes, address, sequence, service, team, agentRows] = value as unknown[];
    const issuer = toHex(issuerBytes);
    const agents = toAgents(agentRows);
    const wellFormed = INCARNATION_PATTERN.test(issuer)
        && typeof address === "string"
        && ADDRESS_PATTERN.test(address)
        && typeof sequence === "number"
        && Number.isSafeInteger(sequence)
        && typeof service === "string"
        && typeof team === "string"
        && agents !== undefined;
    return wellFormed
        ? Right({ issuer, address, sequence, service, team, agents })
        : Left(invalid("ticket body has a field of the wrong type"));
}

function toAgents(value: unknown): Ticket["agents"] | undefined {
    if (!Array.isArray(value) || value.length > MAX_TICKET_AGENTS) {
        return undefined;
    }
    const rows = value as unknown[];
    const agents = rows.map(row => {
        const [address, incarnation] = Array.isArray(row) ? row as unknown[] : [];
        return { address: typeof address === "string" ? address : "", incarnation: toHex(incarnation) };
    });
    const wellFormed = agents.every(agent => {
        return ADDRESS_PATTERN.test(agent.address) && INCARNATION_PATTERN.test(agent.incarnation);
    });
    return wellFormed ? agents : undefined;
}

function toHex(value: unknown): string {
    return value instanceof Uint8Array ? Buffer.from(value).toString("hex") : "";
}
