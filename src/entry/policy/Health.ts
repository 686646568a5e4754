/** Judges agents by how their attempts end. */
export interface Health {
    add(agent: string): void;
    remove(agent: string): void;
    ejected(agent: string): boolean;
    /** Whether the agent may take another task beside `running` ones of its `slots`. */
    accepts(agent: string, running: number, slots: number, now: number): boolean;
    /** Whether the agent's next task is its probe. */
    probeDue(agent: string, now: number): boolean;
    /** Time of the ejected agent's next probe; undefined when it is not ejected or its probe is running. */
    probeAt(agent: string): number | undefined;
    /** Whether recent failures make the agent the last choice. */
    suspect(agent: string): boolean;
    started(agent: string, attempt: string, now: number): void;
    succeeded(agent: string, attempt: string): void;
    failed(agent: string, attempt: string, now: number): void;
    /** The attempt ended in a way that says nothing of the agent's health. */
    ended(agent: string, attempt: string, now: number): void;
    overdue(agent: string, now: number): void;
}
