/** Value of the row `config/head`. */
export interface HeadValue {
    readonly revision: number;
    /** Document revision of the last change of each team's section, including deleted ones. */
    readonly sections: Readonly<Record<string, number>>;
}
