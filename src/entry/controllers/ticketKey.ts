/** Text key of a ticket: issuer incarnation and sequence number. */
export function ticketKey(ticket: { readonly issuer: string; readonly sequence: number; }): string {
    return `${ticket.issuer}/${ticket.sequence}`;
}
