/** Store table with the last report of the endpoint on each VM; the key is the name of the VM. */
export const ENDPOINTS_TABLE = "waxwingshunt-endpoints";
