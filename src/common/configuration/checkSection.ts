import { type Either, Left, Right } from "purify-ts/Either";
import type { ConfigurationFault } from "./ConfigurationFault.js";
import { SectionSchema } from "./SectionSchema.js";
import type { TeamSection } from "./TeamSection.js";

/** Maximum size of a section as JSON text, in bytes; it keeps every section well inside one frame between processes. */
const MAX_SECTION_BYTES = 65_536;

/** Checks one section and fills in defaults, or returns all faults with their paths. */
export function checkSection(body: unknown): Either<readonly ConfigurationFault[], TeamSection> {
    const result = SectionSchema.safeParse(body);
    if (!result.success) {
        return Left(result.error.issues.map(issue => ({ path: issue.path.join("."), message: issue.message })));
    }
    const bytes = Buffer.byteLength(JSON.stringify(result.data));
    if (bytes > MAX_SECTION_BYTES) {
        return Left([{ path: "", message: `section has ${bytes} bytes, at most ${MAX_SECTION_BYTES} are allowed` }]);
    }
    return Right(result.data);
}
