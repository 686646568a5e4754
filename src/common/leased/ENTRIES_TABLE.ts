/** Store table with the addresses of all entries. The key is the `ip:port` where agents connect. */
export const ENTRIES_TABLE = "waxwingshunt-entries";
