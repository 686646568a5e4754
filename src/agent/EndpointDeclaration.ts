import * as z from "zod/mini";
import { processName } from "../common/settings/processName.js";

/** Declaration with which an endpoint announces itself to its agent. */
export const EndpointDeclaration = z.strictObject({
    service: processName,
    /** URL that accepts tasks by POST. */
    url: z.url({ protocol: /^http$/ }),
    /** Maximum number of tasks that run at the same time. */
    slots: z.int().check(z.minimum(1), z.maximum(4096)),
    /** Maximum number of connections. */
    connections: z.int().check(z.minimum(1), z.maximum(4096)),
});

export type EndpointDeclaration = z.infer<typeof EndpointDeclaration>;
