/** Returns the pairs of runs of one task that went on at the same time, with the length of that time. */
export function overlappingRuns(workers, until) {
    const byTask = groupByTask(workers.flatMap(({ runs }) => runs));
    const pairs = [];
    for (const runs of byTask.values()) {
        for (const [index, one] of runs.entries()) {
            for (const other of runs.slice(index + 1)) {
                const ms = Math.min(one.to ?? until, other.to ?? until) - Math.max(one.from, other.from);
                if (ms > 0) {
                    pairs.push({ one, other, ms });
                }
            }
        }
    }
    return pairs;
}

function groupByTask(runs) {
    const groups = new Map();
    runs.forEach(run => groups.set(run.task, [...groups.get(run.task) ?? [], run]));
    return groups;
}
