import * as z from "zod/mini";
import { processName } from "../common/settings/processName.js";

/** What an endpoint says about itself at its agent. */
export const EndpointDeclaration = z.strictObject({
    service: processName,
    /** URL that takes tasks by POST. */
    url: z.url({ protocol: /^http$/ }),
    /** Tasks that it runs at the same time. */
    slots: z.int().check(z.minimum(1), z.maximum(4096)),
    /** Connections that it accepts. */
    connections: z.int().check(z.minimum(1), z.maximum(4096)),
});

export type EndpointDeclaration = z.infer<typeof EndpointDeclaration>;
