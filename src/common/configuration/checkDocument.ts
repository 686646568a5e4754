import { type Either, Left, Right } from "purify-ts/Either";
import { checkSection } from "./checkSection.js";
import type { ConfigurationFault } from "./ConfigurationFault.js";
import type { TeamSection } from "./TeamSection.js";

/**
 * Checks every section, and that each team and each service name occurs once. Returns the sections with defaults, or
 * all faults; the path of a fault starts with `sections.<index>`.
 */
export function checkDocument(
    sections: readonly unknown[],
): Either<readonly ConfigurationFault[], readonly TeamSection[]> {
    const valid: TeamSection[] = [];
    const faults: ConfigurationFault[] = [];
    const owners = new Map<string, string>();
    const teams = new Set<string>();
    for (const [index, body] of sections.entries()) {
        const root = `sections.${index}`;
        const addFault = (path: string, message: string) => {
            faults.push({ path: path === "" ? root : `${root}.${path}`, message });
        };
        checkSection(body).caseOf({
            Left: found => {
                for (const fault of found) {
                    addFault(fault.path, fault.message);
                }
            },
            Right: section => {
                valid.push(section);
                checkNames(section, teams, owners, addFault);
            },
        });
    }
    return faults.length === 0 ? Right(valid) : Left(faults);
}

function checkNames(
    section: TeamSection,
    teams: Set<string>,
    owners: Map<string, string>,
    add: (path: string, message: string) => void,
): void {
    if (teams.has(section.team)) {
        add("team", `team ${section.team} has another section`);
    }
    teams.add(section.team);
    for (const service of Object.keys(section.services)) {
        const owner = owners.get(service);
        if (owner !== undefined) {
            add(`services.${service}`, `service ${service} belongs to team ${owner}`);
        }
        owners.set(service, owner ?? section.team);
    }
}
