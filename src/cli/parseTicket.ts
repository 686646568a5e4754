import { InvalidArgumentError } from "commander";

/** At least the signature of a ticket: 16 bytes in base64url. */
const TICKET_PATTERN = /^[A-Za-z0-9_-]{22,}$/;

/** Checks an argument that must be a ticket; a ticket may begin with "-" like an option. */
export function parseTicket(text: string): string {
    if (!TICKET_PATTERN.test(text)) {
        throw new InvalidArgumentError("it is neither a ticket nor a known option");
    }
    return text;
}
