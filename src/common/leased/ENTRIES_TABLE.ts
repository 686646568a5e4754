/** Table of the store with the address of each entry: the key is `ip:port` where agents connect. */
export const ENTRIES_TABLE = "waxwingshunt-entries";
