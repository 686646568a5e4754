/** Outlier detection: ejects agents by how the attempts on them end, and probes them to take them back. */
export interface Health {
    add(agent: string): void;
    remove(agent: string): void;
    isEjected(agent: string): boolean;
    /** Whether the agent may take another task while `running` of its `slots` are in use. */
    accepts(agent: string, running: number, slots: number, now: number): boolean;
    /** Whether the next task of the ejected agent is its probe. */
    isProbeDue(agent: string, now: number): boolean;
    /** Time of the next probe of an ejected agent; undefined when the agent is not ejected or a probe is running. */
    probeAt(agent: string): number | undefined;
    /** Whether the agent has failed recently, so that others are preferred. */
    isSuspect(agent: string): boolean;
    recordStart(agent: string, attempt: string, now: number): void;
    recordSuccess(agent: string, attempt: string): void;
    recordFailure(agent: string, attempt: string, now: number): void;
    /** Records that the attempt ended in a way that says nothing about the agent's health. */
    recordNeutralEnd(agent: string, attempt: string, now: number): void;
    recordOverdue(agent: string, now: number): void;
}
