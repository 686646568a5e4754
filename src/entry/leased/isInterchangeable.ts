import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";

/**
 * Whether two endpoints can run the same tasks: they have the same service, kind of machine (the first label) and size.
 * Their racks may differ.
 */
export function isInterchangeable(a: EndpointStatus | undefined, b: EndpointStatus | undefined): boolean {
    if (a === undefined || b === undefined) {
        return false;
    }
    const sameSize = a.capacity.cpu === b.capacity.cpu && a.capacity.memoryMb === b.capacity.memoryMb
        && a.capacity.gpu === b.capacity.gpu;
    return a.service === b.service && a.labels[0] === b.labels[0] && sameSize;
}
